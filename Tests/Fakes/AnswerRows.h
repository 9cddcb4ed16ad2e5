#pragma once

#include <string>
#include <vector>

namespace Sapphire {

/// An answer as bytes, and whether it is one by RFC 9112 and RFC 9110.
struct AnswerRow
{
    std::string name;
    std::string text; ///< With "$" where the reader under test wants header fields of its own.
    bool isValid { false };
    int status { 0 }; ///< Of valid answers.
    std::string body; ///< Of valid answers.

    /// Returns the bytes with these fields, each of which ends with CRLF.
    std::string withFields(const std::string &fields = "") const
    {
        std::string result = text;
        const std::size_t position = result.find('$');
        return position == std::string::npos ? result : result.replace(position, 1, fields);
    }
};

/// Answers that every reader of answers has to judge alike: sections 2 to 7 of RFC 9112, section 15 of RFC 9110.
inline std::vector<AnswerRow> answerRows()
{
    using namespace std::string_literals;
    const std::string body = "Content-Length: 2\r\n\r\nok";
    std::vector<AnswerRow> rows;
    const auto malformed = [&rows](const std::string &name, const std::string &text) {
        rows.push_back({ name, text, false, 0, "" });
    };
    const auto valid = [&rows](const std::string &name, const std::string &text, int status,
                               const std::string &content) {
        rows.push_back({ name, text, true, status, content });
    };

    // Status line, RFC 9112 section 4; statuses, RFC 9110 section 15.
    const auto status = [&](const std::string &name, const std::string &line) {
        malformed(name, line + "\r\n$" + body);
    };
    status("status 000", "HTTP/1.1 000 OK");
    status("status 099", "HTTP/1.1 099 OK");
    status("status 600", "HTTP/1.1 600 OK");
    status("status 999", "HTTP/1.1 999 OK");
    status("status of two digits", "HTTP/1.1 20 OK");
    status("status of four digits", "HTTP/1.1 2000 OK");
    status("status with a leading zero", "HTTP/1.1 0200 OK");
    status("status with a sign", "HTTP/1.1 +20 OK");
    status("status with a letter", "HTTP/1.1 2x0 OK");
    status("no status", "HTTP/1.1 OK");
    status("no blank before the reason", "HTTP/1.1 200OK");
    status("two blanks before the status", "HTTP/1.1  200 OK");
    status("tab before the status", "HTTP/1.1\t200 OK");
    status("blank before the version", " HTTP/1.1 200 OK");
    status("version 2.0", "HTTP/2.0 200 OK");
    status("version 0.9", "HTTP/0.9 200 OK");
    status("version 1.10", "HTTP/1.10 200 OK");
    status("version in small letters", "http/1.1 200 OK");
    status("other protocol", "ICY 200 OK");
    status("control byte in the reason", "HTTP/1.1 200 O\x01K");
    status("empty line first", "\r\nHTTP/1.1 200 OK");
    status("unrequested change of protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade");
    malformed("no HTTP", "hello\r\n\r\n");

    // Header fields, section 5.
    const auto field = [&](const std::string &name, const std::string &line) {
        malformed(name, "HTTP/1.1 200 OK\r\n" + line + "\r\n$" + body);
    };
    field("blank in a name", "Bad Name: v");
    field("tab in a name", "Bad\tName: v");
    field("control byte in a name", "Bad\x01Name: v");
    field("DEL in a name", "Bad\x7fName: v");
    field("NUL in a name", "Bad\0Name: v"s);
    field("letter beyond ASCII in a name", "N\xc3\xa4me: v");
    field("separator in a name", "Bad(Name): v");
    field("blank before the colon", "Name : v");
    field("empty name", ": v");
    field("no colon", "Name");
    field("control byte in a value", "Name: v\x01v");
    field("NUL in a value", "Name: v\0v"s);
    field("CR in a value", "Name: v\rv");
    field("folded line, blank", "Name: a\r\n b");
    field("folded line, tab", "Name: a\r\n\tb");
    field("blank line start after the status line", " Name: v");

    // Framing, sections 6 and 7.
    const auto framing = [&](const std::string &name, const std::string &fields, const std::string &content) {
        malformed(name, "HTTP/1.1 200 OK\r\n$" + fields + "\r\n" + content);
    };
    framing("length with a sign", "Content-Length: +2\r\n", "ok");
    framing("negative length", "Content-Length: -2\r\n", "ok");
    framing("hexadecimal length", "Content-Length: 0x2\r\n", "ok");
    framing("length with a letter", "Content-Length: 2a\r\n", "ok");
    framing("two numbers as length", "Content-Length: 2 2\r\n", "ok");
    framing("list of unequal lengths", "Content-Length: 2, 3\r\n", "ok");
    framing("empty length", "Content-Length:\r\n", "ok");
    framing("length that overflows", "Content-Length: 99999999999999999999999\r\n", "ok");
    framing("two unequal lengths", "Content-Length: 2\r\nContent-Length: 3\r\n", "ok");
    framing("length and chunks", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n");
    framing("other coding", "Transfer-Encoding: gzip\r\n", "ok");
    framing("other coding before chunks", "Transfer-Encoding: gzip, chunked\r\n", "2\r\nok\r\n0\r\n\r\n");
    framing("other coding after chunks", "Transfer-Encoding: chunked, gzip\r\n", "2\r\nok\r\n0\r\n\r\n");
    framing("chunks twice", "Transfer-Encoding: chunked, chunked\r\n", "2\r\nok\r\n0\r\n\r\n");
    framing("chunks in two fields", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "2\r\nok\r\n0\r\n\r\n");
    framing("empty coding", "Transfer-Encoding:\r\nContent-Length: 2\r\n", "ok");
    malformed("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n$Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    const auto chunks = [&](const std::string &name, const std::string &content) {
        framing(name, "Transfer-Encoding: chunked\r\n", content);
    };
    chunks("empty size", "\r\nok\r\n0\r\n\r\n");
    chunks("size that is no number", "g\r\nok\r\n0\r\n\r\n");
    chunks("negative size", "-2\r\nok\r\n0\r\n\r\n");
    chunks("size with 0x", "0x2\r\nok\r\n0\r\n\r\n");
    chunks("size that overflows", "fffffffffffffffff2\r\nok\r\n0\r\n\r\n");
    chunks("size line that ends with LF", "2\nok\r\n0\r\n\r\n");
    chunks("LF in a chunk extension", "2;a\nb\r\nok\r\n0\r\n\r\n");
    chunks("control byte in a chunk extension", "2;a\x01\r\nok\r\n0\r\n\r\n");
    chunks("data longer than its size", "2\r\nokay\r\n0\r\n\r\n");
    chunks("data that ends with LF", "2\r\nok\n0\r\n\r\n");
    chunks("blank in the name of a trailer", "2\r\nok\r\n0\r\nBad Name: v\r\n\r\n");
    chunks("folded trailer", "2\r\nok\r\n0\r\nName: a\r\n b\r\n\r\n");

    valid("length", "HTTP/1.1 200 OK\r\n$" + body, 200, "ok");
    valid("length with blanks around it", "HTTP/1.1 200 OK\r\n$Content-Length: \t2 \r\n\r\nok", 200, "ok");
    valid("empty reason", "HTTP/1.1 200 \r\n$" + body, 200, "ok");
    valid("no reason", "HTTP/1.1 200\r\n$" + body, 200, "ok");
    valid("reason with blanks and letters beyond ASCII", "HTTP/1.1 200 all \xc3\xa4\t.\r\n$" + body, 200, "ok");
    valid("value with letters beyond ASCII", "HTTP/1.1 200 OK\r\nName: \xc3\xa4\r\n$" + body, 200, "ok");
    valid("empty value", "HTTP/1.1 200 OK\r\nName:\r\n$" + body, 200, "ok");
    valid("all characters of a token", "HTTP/1.1 200 OK\r\n!#%&'*+-.^_`|~19Az: v\r\n$" + body, 200, "ok");
    valid("chunks", "HTTP/1.1 200 OK\r\n$Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", 200, "ok");
    valid("chunks with extensions and a trailer",
          "HTTP/1.1 200 OK\r\n$Transfer-Encoding: Chunked\r\n\r\n2;a=\"b c\"\r\nok\r\n000;d\r\nName: v\r\n\r\n", 200,
          "ok");
    valid("informational answers first",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n$" + body, 200,
          "ok");
    return rows;
}

} // namespace Sapphire
