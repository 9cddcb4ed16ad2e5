#pragma once

#include <LibExchange/RequestHandler.h>

#include <atomic>
#include <string>

namespace Sapphire {

/// An answer sink that stores the answer in memory.
class MemorySink final : public AnswerSink
{
public:
    Result<void> start(const AnswerHead &answerHead) override
    {
        ++starts;
        head = answerHead;
        return {};
    }
    Result<void> write(std::span<const char> bytes) override
    {
        largestPiece = std::max(largestPiece, bytes.size());
        byteCount += bytes.size();
        if (keepsBody) {
            body.append(bytes.data(), bytes.size());
        }
        return {};
    }
    Result<void> finish() override
    {
        isFinished = true;
        return {};
    }
    bool isCancelled() const override
    {
        return cancelled;
    }

    std::string header(const std::string &name) const
    {
        for (const HeaderField &field : head.headers) {
            if (field.name == name) {
                return field.value;
            }
        }
        return "";
    }

    AnswerHead head;
    std::string body;
    std::size_t byteCount { 0 };
    std::size_t largestPiece { 0 };
    int starts { 0 };
    bool keepsBody { true };
    bool isFinished { false };
    std::atomic<bool> cancelled { false };
};

} // namespace Sapphire
