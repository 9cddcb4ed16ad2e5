#include <LibCaller/HttpAnswerSink.h>

#include <LibCaller/HttpBodySource.h>

#include <ostream>

namespace Sapphire {

HttpAnswerSink::HttpAnswerSink(Poco::Net::HTTPServerResponse &response, const Poco::Net::StreamSocket &socket,
                               VmId ownVm, bool hasNoBody)
    : m_response(response), m_socket(socket), m_ownVm(std::move(ownVm)), m_hasNoBody(hasNoBody)
{
}

Result<void> HttpAnswerSink::check()
{
    if (m_stream == nullptr || !m_stream->good()) {
        return fail(ErrorCode::Cancelled, "the caller closed the connection");
    }
    return {};
}

Result<void> HttpAnswerSink::start(const AnswerHead &head)
{
    m_response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(head.status));
    m_response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(m_response.getStatus()));
    for (const HeaderField &field : head.headers) {
        m_response.add(field.name, field.value);
    }
    if (!head.locality.region.isEmpty()) {
        // Skipped for a replayed answer, since the locality of its target is not stored.
        const VmId &vm = head.vm.isEmpty() ? m_ownVm : head.vm;
        const std::string locality = head.locality.region.text() + "/" + head.locality.availabilityZone.text();
        m_response.set("Sapphire-Served-By", locality + "/" + vm.text() + "/" + head.target.text());
    }
    m_response.set("Sapphire-Entry-Vm", m_ownVm.text());
    m_response.set("Sapphire-Verdict", std::string(nameOf(Verdict::Ran)));
    if (head.bodyBytes) {
        m_response.setContentLength64(static_cast<Poco::Int64>(*head.bodyBytes));
    } else if (!m_hasNoBody) {
        m_response.setChunkedTransferEncoding(true);
    }
    try {
        m_stream = &m_response.send();
    } catch (const Poco::Exception &) {
        return fail(ErrorCode::Cancelled, "the caller closed the connection");
    }
    return check();
}

Result<void> HttpAnswerSink::write(std::span<const char> bytes)
{
    BOOST_LEAF_CHECK(check());
    m_stream->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    m_stream->flush();
    return check();
}

Result<void> HttpAnswerSink::finish()
{
    BOOST_LEAF_CHECK(check());
    m_stream->flush();
    return check();
}

bool HttpAnswerSink::isCancelled() const
{
    return isClosedByPeer(m_socket);
}

void HttpAnswerSink::abort()
{
    m_response.setKeepAlive(false);
    try {
        // Must happen before POCO's stream ends, which would send the last chunk of a chunked answer and make it look
        // complete.
        m_socket.shutdown();
    } catch (const Poco::Exception &) {
        return;
    }
}

} // namespace Sapphire
