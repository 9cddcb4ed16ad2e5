#include <StandIns/Platform/PlatformHandler.h>

#include <LibCore/BootClock.h>
#include <LibCore/EventLog.h>
#include <LibCore/SettingsReader.h>
#include <LibPlatform/PercentEncoding.h>
#include <LibPlatform/RowList.h>
#include <LibPlatform/VmListText.h>
#include <StandIns/Platform/PlatformControl.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <charconv>

#include <poll.h>
#include <sys/socket.h>

namespace Sapphire {

namespace {

constexpr std::size_t mostRowsPerList = 1000;
constexpr std::string_view octetStream = "application/octet-stream";

HttpReply errorReply(int status, const std::string &message)
{
    return { status, "{\"error\":" + quoteJson(message) + "}", {}, "application/json" };
}

Poco::Net::StreamSocket &socketOf(Poco::Net::HTTPServerRequest &request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

bool hasPeerClosed(Poco::Net::HTTPServerRequest &request)
{
    pollfd entry { socketOf(request).impl()->sockfd(), POLLIN, 0 };
    if (::poll(&entry, 1, 0) <= 0) {
        return false;
    }
    char byte = 0;
    return ::recv(entry.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/// Returns the percent-decoded segments of a path, or nothing if an escape is invalid.
std::optional<std::vector<std::string>> segmentsOf(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t end = std::min(path.find('/'), path.size());
        auto segment = percentDecode(path.substr(0, end));
        if (!segment) {
            return std::nullopt;
        }
        segments.push_back(std::move(*segment));
        path.remove_prefix(end);
    }
    return segments;
}

/// Returns the decoded value of a query parameter, or nothing if it is missing or malformed.
std::optional<std::string> queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view parameter = query.substr(0, end);
        if (parameter.size() > name.size() && parameter.starts_with(name) && parameter[name.size()] == '=') {
            return percentDecode(parameter.substr(name.size() + 1));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

Result<std::vector<RowWrite>> readWrites(const std::string &body)
{
    BOOST_LEAF_AUTO(reader, SettingsReader::create("{\"writes\":" + body + "}"));
    std::vector<RowWrite> writes;
    for (SettingsReader &element : reader.objects("writes")) {
        RowWrite write;
        write.table = TableName(element.requiredText("table"));
        write.key = element.requiredText("key");
        write.mustNotExist = element.text("ifNoneMatch", "") == "*";
        if (element.has("ifMatch")) {
            write.mustMatch = RowTag(element.text("ifMatch", ""));
        }
        if (!element.boolean("remove", false)) {
            write.value = element.requiredText("value");
        }
        element.rejectUnknownMembers();
        writes.push_back(std::move(write));
    }
    BOOST_LEAF_CHECK(reader.finish());
    return writes;
}

} // namespace

PlatformHandler::PlatformHandler(PlatformServerParts &parts) : m_parts(parts)
{
}

void PlatformHandler::handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const std::optional<HttpReply> reply = answer(request);
    if (!reply) {
        response.setKeepAlive(false);
        socketOf(request).shutdown();
        return;
    }
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply->status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    if (!reply->entityTag.empty()) {
        response.set("ETag", reply->entityTag);
    }
    if (reply->status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT) {
        response.send();
        return;
    }
    response.setContentType(reply->contentType);
    response.sendBuffer(reply->body.data(), reply->body.size());
}

std::optional<HttpReply> PlatformHandler::answer(Poco::Net::HTTPServerRequest &request)
{
    // Always read, because its bytes would otherwise be parsed as the next request.
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const std::string_view uri = request.getURI();
    const std::size_t pathEnd = std::min(uri.find('?'), uri.size());
    auto segments = segmentsOf(uri.substr(0, pathEnd));
    if (!segments || segments->empty()) {
        return errorReply(400, "the path is not well-formed");
    }
    m_segments = std::move(*segments);
    m_query = uri.substr(std::min(pathEnd + 1, uri.size()));
    if (m_segments[0] == "control") {
        m_segments.erase(m_segments.begin());
        return PlatformControl(m_parts).answer(request.getMethod(), m_segments, body);
    }
    const bool isWrite = request.getMethod() != "GET";
    (isWrite ? m_parts.writes : m_parts.reads).add(BootClock().now());
    const OutageMode mode = m_parts.faults.admit([&] {
        return hasPeerClosed(request);
    });
    if (mode == OutageMode::Silent) {
        return std::nullopt;
    }
    if (mode == OutageMode::Refuse) {
        return errorReply(503, "outage");
    }
    HttpReply reply = route(request, body);
    if (isWrite && m_parts.faults.takeLostAnswer()) {
        return std::nullopt;
    }
    return reply;
}

HttpReply PlatformHandler::route(const Poco::Net::HTTPServerRequest &request, const std::string &body)
{
    const std::string &method = request.getMethod();
    const std::size_t count = m_segments.size();
    const bool isTable = m_segments[0] == "tables" && count >= 3 && m_segments[2] == "rows";
    if (isTable && count == 4 && !m_segments[3].empty()) {
        return answerRow(request, TableName(m_segments[1]), m_segments[3], body);
    }
    if (isTable && count == 3 && method == "GET") {
        return listRows(TableName(m_segments[1]), m_query);
    }
    if (m_segments[0] == "objects" && count == 2) {
        return answerObject(method, m_segments[1], body);
    }
    if (m_segments[0] == "transactions" && count == 1 && method == "POST") {
        return runTransaction(body);
    }
    if (m_segments[0] == "vms" && count == 1 && method == "GET") {
        return { 200, vmListText(m_parts.vms.visible(BootClock().now())), {}, "application/json" };
    }
    return errorReply(404, "no such resource");
}

HttpReply PlatformHandler::answerRow(const Poco::Net::HTTPServerRequest &request, const TableName &table,
                                     const std::string &key, const std::string &body)
{
    const std::string &method = request.getMethod();
    if (method == "GET") {
        return readRow(table, key);
    }
    if (method != "PUT" && method != "DELETE") {
        return errorReply(405, "expected GET, PUT or DELETE");
    }
    RowWrite write { table, key, {}, {}, request.get("If-None-Match", "") == "*" };
    if (request.has("If-Match")) {
        write.mustMatch = RowTag(request.get("If-Match"));
    }
    if (method == "PUT") {
        write.value = body;
    }
    const TransactionOutcome outcome = m_parts.state.apply({ write });
    if (!outcome.isApplied) {
        return errorReply(412, "the row's state differs from the condition");
    }
    return { outcome.hasCreated ? 201 : 204, {}, outcome.tags[0].text(), std::string(octetStream) };
}

HttpReply PlatformHandler::readRow(const TableName &table, const std::string &key) const
{
    const std::optional<Row> row = m_parts.state.read(table, key);
    if (!row) {
        return errorReply(404, "no such row");
    }
    return { 200, row->value, row->tag.text(), std::string(octetStream) };
}

HttpReply PlatformHandler::listRows(const TableName &table, std::string_view query) const
{
    std::size_t limit = mostRowsPerList;
    if (const auto text = queryValue(query, "limit")) {
        const auto parsed = std::from_chars(text->data(), text->data() + text->size(), limit);
        if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size()) {
            return errorReply(400, "limit: expected a whole number");
        }
    }
    const std::string after = queryValue(query, "after").value_or("");
    return {
        200, rowListText(m_parts.state.list(table, after, std::min(limit, mostRowsPerList))), {}, "application/json"
    };
}

HttpReply PlatformHandler::runTransaction(const std::string &body)
{
    const Outcome<std::vector<RowWrite>> writes = capture([&] {
        return readWrites(body);
    });
    if (!writes) {
        return errorReply(400, writes.error().message);
    }
    const TransactionOutcome outcome = m_parts.state.apply(writes.value());
    if (!outcome.isApplied) {
        return { 412, "{\"failedWrite\":" + std::to_string(outcome.failedWrite) + "}", {}, "application/json" };
    }
    std::string text = "{\"tags\":[";
    for (const RowTag &tag : outcome.tags) {
        if (text.back() != '[') {
            text += ',';
        }
        text += quoteJson(tag.text());
    }
    return { 200, text + "]}", {}, "application/json" };
}

HttpReply PlatformHandler::answerObject(const std::string &method, const std::string &key, const std::string &body)
{
    if (method == "PUT") {
        m_parts.state.writeObject(key, body);
        return { 204, {}, {}, {} };
    }
    if (method != "GET") {
        return errorReply(405, "expected GET or PUT");
    }
    std::optional<std::string> content = m_parts.state.readObject(key);
    if (!content) {
        return errorReply(404, "no such object");
    }
    return { 200, std::move(*content), {}, std::string(octetStream) };
}

} // namespace Sapphire
