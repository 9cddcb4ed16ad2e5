#pragma once

#include <Harness/HttpConnection.h>
#include <LibCore/BootClock.h>
#include <LibCore/RandomSource.h>
#include <SapphireLoad/LoadPlan.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Sapphire {

/// Caches look-up answers for their time to live, as callers do. Shared by all workers; thread-safe.
class LookUpCache
{
public:
    struct Entry
    {
        std::vector<std::string> vms; ///< "ip:port", best first.
        std::string requestIdPrefix;
        Deadline expiry;
    };

    std::optional<Entry> find(const std::string &key, TimePoint now) const;
    void store(const std::string &key, Entry entry);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries;
};

/// The outcome of a call.
struct LoadAnswer
{
    int status { 0 }; ///< 0 if there was no complete HTTP answer.
    std::string reason {}; ///< Of the refusal or error.
    std::string verdict {};
    std::string region {}; ///< Of the VM that ran the request.
    std::string body {};
};

/// Sends the requests of one worker over its own connections to VMs. Used by one thread.
class LoadCaller
{
public:
    LoadCaller(const LoadPlan &plan, LookUpCache &cache, std::uint64_t seed);

    /// Sends one request, after a look-up if none is cached.
    LoadAnswer call(const LoadCustomer &customer, const LoadRoute &route, const LoadOrigin &origin,
                    const std::string &idSuffix);

private:
    LookUpCache::Entry lookUp(const LoadCustomer &customer, const LoadOrigin &origin);
    /// Returns an entry for a random VM of a random origin.
    LookUpCache::Entry anyVm() const;
    LoadAnswer send(const std::string &vm, const LoadCustomer &customer, const LoadRoute &route, const std::string &id);
    /// Returns the kept connection to the VM, or a new one. Fails as HttpConnection::create() does.
    Result<HttpConnection *> connectionTo(const std::string &vm, Deadline deadline);
    /// Sends a request on the kept connection to the VM, or on a new one, and waits for the whole answer. Fails as
    /// HttpConnection::exchange() does.
    Outcome<HttpAnswer> exchange(const std::string &vm, const std::string &request, Milliseconds timeout);

    const LoadPlan &m_plan;
    LookUpCache &m_cache;
    BootClock m_clock;
    mutable RandomSource m_random;
    std::map<std::string, std::unique_ptr<HttpConnection>> m_connections;
};

} // namespace Sapphire
