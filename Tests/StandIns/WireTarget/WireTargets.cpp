#include <StandIns/WireTarget/WireTargets.h>

#include <future>
#include <stdexcept>

namespace Sapphire {

namespace {

/// Returns what all targets have recorded of one kind.
template<typename Record>
std::vector<Record> collect(const std::vector<std::unique_ptr<WireTarget>> &targets,
                            std::vector<Record> (WireTarget::*records)() const)
{
    std::vector<Record> all;
    for (const std::unique_ptr<WireTarget> &target : targets) {
        const std::vector<Record> ofTarget = (*target.*records)();
        all.insert(all.end(), ofTarget.begin(), ofTarget.end());
    }
    return all;
}

} // namespace

WireTargets::WireTargets()
{
    Outcome<std::unique_ptr<EventLoop>> loop = capture([this] {
        return EventLoop::create(m_clock);
    });
    if (!loop) {
        throw std::runtime_error(loop.error().message);
    }
    m_loop = std::move(loop.value());
    m_thread = std::thread([this] {
        m_loop->run();
    });
}

WireTargets::~WireTargets()
{
    m_loop->stop();
    m_thread.join();
    m_targets.clear();
}

WireTarget &WireTargets::add(const std::string &id, const std::string &ip)
{
    run([&] {
        m_targets.push_back(std::make_unique<WireTarget>(*m_loop, id, ip));
    });
    return *m_targets.back();
}

void WireTargets::run(const std::function<void()> &function)
{
    std::promise<void> done;
    const bool isPosted = m_loop->post([&] {
        function();
        done.set_value();
    });
    if (!isPosted) {
        throw std::runtime_error("the targets' event loop accepts no more tasks");
    }
    done.get_future().wait();
}

std::vector<WireTargetRun> WireTargets::runs() const
{
    return collect(m_targets, &WireTarget::runs);
}

std::vector<WireTargetPause> WireTargets::pauses() const
{
    return collect(m_targets, &WireTarget::pauses);
}

} // namespace Sapphire
