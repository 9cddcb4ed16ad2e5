#pragma once

#include <LibSteering/EventWindow.h>

namespace Sapphire {

/// Limits how many requests leave the region that the shares gave them, for lack of room there. Answers sudden peaks:
/// the shares follow them only slowly, and a region's requests must not all change their region at once.
class MoveBudget
{
public:
    struct Settings
    {
        double share { 0.05 }; ///< Of the requests in a window that may leave.
        Milliseconds window { 2'000 };
    };

    explicit MoveBudget(Settings settings) : m_settings(settings)
    {
    }

    void noteRequest(TimePoint now);
    bool mayMove(TimePoint now);
    void noteMove(TimePoint now);

private:
    Settings m_settings;
    EventWindow m_requests;
    EventWindow m_moves;
};

} // namespace Sapphire
