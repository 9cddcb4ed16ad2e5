#pragma once

#include <LibNet/EventLoop.h>

#include <future>
#include <memory>
#include <stdexcept>

namespace Sapphire {

/// Waits until a loop that another thread runs has handled what had reached its descriptors before the call.
inline void finishRound(EventLoop &loop)
{
    // The first round may have begun before the call. A task of its end is needed, since tasks that are posted one
    // after the other may run in the same round.
    for (int round = 0; round < 2; ++round) {
        auto ended = std::make_shared<std::promise<void>>();
        const bool isPosted = loop.post([&loop, ended] {
            loop.later([ended] {
                ended->set_value();
            });
        });
        if (!isPosted) {
            throw std::runtime_error("the loop takes no more tasks");
        }
        ended->get_future().wait();
    }
}

} // namespace Sapphire
