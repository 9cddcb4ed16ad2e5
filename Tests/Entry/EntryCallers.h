#pragma once

#include <Entry/CallerRecord.h>
#include <Entry/EntryDeployment.h>
#include <LibCore/RandomSource.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace Sapphire {

/// Callers that send requests continuously until they are stopped, each on its own connections.
class EntryCallers
{
public:
    struct Settings
    {
        int callers { 6 };
        Milliseconds pause { 5 }; ///< Between two requests of a caller.
        std::string key { "key-1" };
        double bookingRatio { 0.3 }; ///< Ratio of bookings, which must not run twice, to all requests.
        std::uint64_t seed { 1 };
        bool keepsConnections { false }; ///< Each caller uses its connections until the VM closes them.
    };

    /// Starts sending to the VMs that look-ups return.
    EntryCallers(EntryDeployment &deployment, const Settings &settings);
    ~EntryCallers();

    /// Stops the callers and returns the records of all requests.
    std::vector<CallerRecord> stop();

    /// Sends one request and returns its record.
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
