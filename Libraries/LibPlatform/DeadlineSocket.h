#pragma once

#include <LibCore/Deadline.h>

#include <Poco/Net/StreamSocketImpl.h>

#include <cstddef>

namespace Sapphire {

/// A TCP socket with one deadline for all reads and writes of an exchange. POCO's own timeouts restart with each read,
/// so a peer that sends one byte at a time could block a thread without limit.
class DeadlineSocket final : public Poco::Net::StreamSocketImpl
{
public:
    /// Sets the deadline of the following reads and writes and resets the byte counts.
    void start(Deadline deadline);
    std::size_t bytesSent() const;
    std::size_t bytesReceived() const;
    /// Returns whether the peer has closed the connection or sent unsolicited data. Never blocks.
    bool hasInput();

    /// Throws Poco::TimeoutException at the deadline.
    int sendBytes(const void *buffer, int length, int flags) override;
    /// Throws Poco::TimeoutException at the deadline, also if bytes have arrived that were not read before it.
    int receiveBytes(void *buffer, int length, int flags) override;

private:
    ~DeadlineSocket() override = default;

    void waitFor(short events);

    Deadline m_deadline;
    std::size_t m_bytesSent { 0 };
    std::size_t m_bytesReceived { 0 };
};

} // namespace Sapphire
