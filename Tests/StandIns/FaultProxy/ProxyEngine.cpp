#include <StandIns/FaultProxy/ProxyEngine.h>

#include <algorithm>

namespace Sapphire {

Result<std::unique_ptr<ProxyEngine>> ProxyEngine::create(int workers)
{
    std::unique_ptr<ProxyEngine> engine(new ProxyEngine);
    for (int i = 0; i < workers; ++i) {
        BOOST_LEAF_AUTO(worker, ProxyWorker::create());
        engine->m_workers.push_back(std::move(worker));
    }
    return engine;
}

Result<void> ProxyEngine::addLinks(const std::vector<LinkSettings> &links)
{
    const std::lock_guard guard(m_mutex);
    for (const LinkSettings &link : links) {
        if (m_names.contains(link.name)) {
            return fail(ErrorCode::InvalidArgument, "link " + link.name + " exists");
        }
        BOOST_LEAF_CHECK(m_workers[m_names.size() % m_workers.size()]->addLink(link));
        m_names.insert(link.name);
    }
    return {};
}

Result<void> ProxyEngine::apply(const FaultCommand &command)
{
    const std::lock_guard guard(m_mutex);
    std::size_t selected = 0;
    for (const auto &worker : m_workers) {
        selected += worker->apply(command);
    }
    if (selected == 0) {
        return fail(ErrorCode::NotFound,
                    std::string("no link ") + (command.isPrefix ? "begins with " : "is named ") + command.name);
    }
    return {};
}

std::vector<LinkCounters> ProxyEngine::counters()
{
    const std::lock_guard guard(m_mutex);
    std::vector<LinkCounters> result;
    for (const auto &worker : m_workers) {
        const std::vector<LinkCounters> part = worker->counters();
        result.insert(result.end(), part.begin(), part.end());
    }
    std::sort(result.begin(), result.end(), [](const LinkCounters &left, const LinkCounters &right) {
        return left.name < right.name;
    });
    return result;
}

} // namespace Sapphire
