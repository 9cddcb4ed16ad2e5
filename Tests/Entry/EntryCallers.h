#pragma once

#include <Entry/CallerRecord.h>
#include <Entry/EntryDeployment.h>
#include <LibCore/RandomSource.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace Sapphire {

/// Callers that send requests all the time until they are stopped, each on connections of its own.
class EntryCallers
{
public:
    struct Settings
    {
        int callers { 6 };
        Milliseconds pause { 5 }; ///< Between two requests of a caller.
        std::string key { "key-1" };
        double bookings { 0.3 }; ///< The part of requests that must not run twice.
        std::uint64_t seed { 1 };
        bool keepsConnections { false }; ///< Each caller uses its connections until the VM closes them.
    };

    /// Begins to send to the VMs that look-ups name.
    EntryCallers(EntryDeployment &deployment, const Settings &settings);
    ~EntryCallers();

    /// Ends the callers and returns what they saw.
    std::vector<CallerRecord> stop();

    /// Sends one request and returns what came of it.
    static CallerRecord send(const std::string &address, const std::string &method, const std::string &path,
                             const std::string &id, const std::string &key, Milliseconds deadline);

private:
    void run(int caller);
    CallerRequestPlan nextRequest(int caller, int number, RandomSource &random) const;

    EntryDeployment &m_deployment;
    Settings m_settings;
    std::atomic<bool> m_isStopped { false };
    std::mutex m_mutex;
    std::vector<CallerRecord> m_records;
    std::vector<std::thread> m_threads;
};

} // namespace Sapphire
