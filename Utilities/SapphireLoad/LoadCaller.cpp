#include <SapphireLoad/LoadCaller.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

namespace Sapphire {

namespace {

constexpr Milliseconds lookUpTimeout { 2'000 };
constexpr Milliseconds timeoutMargin { 1'000 };
constexpr int firstErrorStatus = 400;

Poco::Timespan timespan(Milliseconds time)
{
    return { time.count() * 1'000 };
}

} // namespace

std::optional<LookUpCache::Entry> LookUpCache::find(const std::string &key, TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.expiry.hasPassed(now)) {
        return std::nullopt;
    }
    return found->second;
}

void LookUpCache::store(const std::string &key, Entry entry)
{
    const std::lock_guard guard(m_mutex);
    m_entries[key] = std::move(entry);
}

LoadCaller::LoadCaller(const LoadPlan &plan, LookUpCache &cache, std::uint64_t seed)
    : m_plan(plan), m_cache(cache), m_random(seed)
{
}

Poco::Net::HTTPClientSession &LoadCaller::session(const std::string &vm)
{
    std::unique_ptr<Poco::Net::HTTPClientSession> &entry = m_sessions[vm];
    if (!entry) {
        const auto mapped = m_plan.addressMap.find(vm);
        entry = std::make_unique<Poco::Net::HTTPClientSession>(
            Poco::Net::SocketAddress(mapped == m_plan.addressMap.end() ? vm : mapped->second));
        entry->setKeepAlive(true);
    }
    return *entry;
}

LookUpCache::Entry LoadCaller::anyVm() const
{
    const LoadOrigin &origin = m_plan.origins[m_random.below(m_plan.origins.size())];
    return { { origin.vms[m_random.below(origin.vms.size())] }, "", {} };
}

LookUpCache::Entry LoadCaller::lookUp(const LoadCustomer &customer, const LoadOrigin &origin)
{
    if (!m_plan.usesLookUps) {
        return anyVm();
    }
    const std::string cacheKey = customer.name + "/" + origin.region;
    if (std::optional<LookUpCache::Entry> cached = m_cache.find(cacheKey, m_clock.now())) {
        return *cached;
    }
    for (std::size_t attempt = 0; attempt < origin.vms.size(); ++attempt) {
        const std::string &vm = origin.vms[m_random.below(origin.vms.size())];
        try {
            Poco::Net::HTTPClientSession &connection = session(vm);
            connection.setTimeout(timespan(lookUpTimeout));
            Poco::Net::HTTPRequest request("GET", "/v1/lookup", Poco::Net::HTTPMessage::HTTP_1_1);
            request.set("Authorization", "Bearer " + customer.key);
            connection.sendRequest(request);
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(connection.receiveResponse(response), body);
            Poco::JSON::Parser parser;
            const auto object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
            LookUpCache::Entry entry;
            for (const char *list : { "vms", "alternatives" }) {
                const Poco::JSON::Array::Ptr vms = object->getArray(list);
                for (unsigned i = 0; i < vms->size(); ++i) {
                    entry.vms.push_back(vms->getObject(i)->getValue<std::string>("address"));
                }
            }
            entry.requestIdPrefix = object->getValue<std::string>("requestIdPrefix");
            entry.expiry =
                Deadline::after(m_clock.now(), Milliseconds(object->getValue<std::int64_t>("ttlMilliseconds")));
            if (!entry.vms.empty()) {
                m_cache.store(cacheKey, entry);
                return entry;
            }
        } catch (const Poco::Exception &) {
            m_sessions.erase(vm);
        }
    }
    return anyVm();
}

LoadAnswer LoadCaller::call(const LoadCustomer &customer, const LoadRoute &route, const LoadOrigin &origin,
                            const std::string &idSuffix)
{
    const LookUpCache::Entry entry = lookUp(customer, origin);
    const bool isChange = route.method == "POST" || route.method == "PATCH";
    std::string id;
    if (isChange) {
        id = (m_plan.usesIssuedIds ? entry.requestIdPrefix : "") + idSuffix;
    }
    LoadAnswer answer = send(entry.vms.front(), customer, route, id);
    const bool mayTryNextVm = answer.status == 0 && !isChange && entry.vms.size() > 1;
    if (mayTryNextVm) {
        // A caller that gets no answer repeats a read at the next VM that the look-up named.
        answer = send(entry.vms[1], customer, route, id);
    }
    return answer;
}

LoadAnswer LoadCaller::send(const std::string &vm, const LoadCustomer &customer, const LoadRoute &route,
                            const std::string &id)
{
    LoadAnswer answer;
    try {
        Poco::Net::HTTPClientSession &connection = session(vm);
        connection.setTimeout(timespan(route.timeout + timeoutMargin));
        Poco::Net::HTTPRequest request(route.method, "/v1/services/" + route.service + route.path,
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + customer.key);
        request.set("Request-Timeout-Ms", std::to_string(route.timeout.count()));
        if (!id.empty()) {
            request.set("Idempotency-Key", id);
            request.setContentLength(0);
        }
        connection.sendRequest(request);
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(connection.receiveResponse(response), answer.body);
        answer.status = response.getStatus();
        answer.verdict = response.get("Sapphire-Verdict", "");
        answer.reason = answer.status < firstErrorStatus
            ? ""
            : response.get("Sapphire-Reason", "status-" + std::to_string(answer.status));
        const std::string servedBy = response.get("Sapphire-Served-By", "");
        answer.region = servedBy.substr(0, servedBy.find('/'));
        if (!response.getKeepAlive()) {
            m_sessions.erase(vm);
        }
    } catch (const Poco::TimeoutException &) {
        m_sessions.erase(vm);
        answer.reason = "timeout";
    } catch (const Poco::Exception &) {
        m_sessions.erase(vm);
        answer.reason = "connection";
    }
    return answer;
}

} // namespace Sapphire
