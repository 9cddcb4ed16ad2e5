#pragma once

#include <LibTarget/AnswerReader.h>
#include <LibTarget/AttemptReport.h>
#include <LibTarget/ConnectionPool.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace Sapphire {

/// The target of an attempt, and the VM that makes it.
struct AttemptTarget
{
    TargetId id;
    Locality locality;
    VmId ownVm;
    ConnectionPool *pool { nullptr };
};

/// Sends one request to one target once and forwards the answer to the sink. Each object handles one request only.
class TargetAttempt
{
public:
    TargetAttempt(const AttemptTarget &target, const Clock &clock, const RequestHead &head, BodySource &body,
                  AnswerSink &sink);
    ~TargetAttempt();
    TargetAttempt(const TargetAttempt &) = delete;
    TargetAttempt &operator=(const TargetAttempt &) = delete;

    AttemptReport run();

private:
    static constexpr std::size_t pieceBytes = 16384;

    Result<void> readFirstPiece();
    Result<std::size_t> readBody(std::span<char> buffer);
    Result<void> send();
    Result<void> sendHead();
    Result<void> sendBody();
    /// Returns false if the target sent something before all bytes were sent.
    Result<bool> sendAll(std::string_view bytes);
    std::string requestText() const;
    std::string framed(std::string_view piece) const;

    Result<void> receive();
    void readPause();
    Result<void> forwardHead();
    Result<void> forwardBody();
    AttemptReport shed();

    AttemptReport refuse(AttemptEnd end, RefusalReason reason, std::string detail) const;
    AttemptReport acquireFailed(const Error &error) const;
    AttemptReport bodyFailed(const Error &error) const;
    AttemptReport connectionFailed(const Error &error);
    void releaseConnection(bool isReusable);

    const AttemptTarget &m_target;
    const Clock &m_clock;
    const RequestHead &m_head;
    BodySource &m_body;
    AnswerSink &m_sink;
    WaitLimit m_limit;
    std::unique_ptr<TargetConnection> m_connection;
    std::optional<AnswerReader> m_reader;
    std::array<char, pieceBytes> m_piece; ///< Body bytes to send, later received ones. At first, the beginning of the
                                          ///< request's body with m_pieceBytes bytes.
    std::size_t m_pieceBytes { 0 };
    std::uint64_t m_bodyRead { 0 };
    bool m_isBodyAtEnd { false };
    bool m_isRequestComplete { false };
    bool m_hasBodyFailed { false };
    bool m_hasSinkFailed { false };
    bool m_isAnswerStarted { false };
    bool m_wasReused { false };
    TimePoint m_sentAt {}; ///< When the first byte may have been sent.
    TimePoint m_requestEndAt {};
    Microseconds m_latency {};
    int m_status { 0 };
    std::optional<Deadline> m_pausedUntil;
};

} // namespace Sapphire
