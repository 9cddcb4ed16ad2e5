#include <StandIns/Store/StoreStandIn.h>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <sstream>
#include <stdexcept>

namespace Sapphire {

namespace {

constexpr Milliseconds feedPollInterval { 5 };
constexpr std::size_t mostRows = 500;
constexpr int statusOk = 200;
constexpr int statusGone = 410;

using Query = std::map<std::string, std::string>;

Query queryOf(const std::string &target)
{
    Query query;
    for (const auto &[name, value] : Poco::URI("http://store" + target).getQueryParameters()) {
        query[name] = value;
    }
    return query;
}

std::string rowsText(const std::string &table, const std::vector<StandInRow> &rows, std::uint64_t version, bool hasMore)
{
    Poco::JSON::Array array;
    for (const StandInRow &row : rows) {
        Poco::JSON::Object object;
        object.set("table", table);
        object.set("part", "");
        object.set("key", row.key);
        object.set("ver", row.version);
        if (row.isRemoved) {
            object.set("deleted", true);
        } else {
            object.set("value", row.value);
        }
        array.add(object);
    }
    Poco::JSON::Object answer;
    answer.set("rows", array);
    answer.set("has_more", hasMore);
    answer.set("ver", version);
    answer.set("now", "1ms");
    std::ostringstream text;
    answer.stringify(text);
    return text.str();
}

std::string encoded(const std::string &content)
{
    std::ostringstream output;
    Poco::Base64Encoder encoder(output);
    encoder.rdbuf()->setLineLength(0);
    encoder << content;
    encoder.close();
    return output.str();
}

std::string decoded(const std::string &value)
{
    std::istringstream input(value);
    Poco::Base64Decoder decoder(input);
    return { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
}

} // namespace

/// Answers one HTTP request.
class StoreStandInHandler final : public HttpRequestHandler
{
public:
    explicit StoreStandInHandler(StoreStandIn &store)
        : m_store(store), m_timer(*store.m_loop, [this] {
            proceed();
        })
    {
    }

    void begin(HttpServerConnection &connection, const HttpHead &head) override
    {
        m_connection = &connection;
        m_target = head.target;
        m_query = queryOf(head.target);
    }
    void bodyReceived(std::string_view bytes, bool isComplete) override
    {
        m_body.append(bytes);
        if (!isComplete || m_connection == nullptr) {
            return;
        }
        ++m_store.m_calls;
        const std::lock_guard guard(m_store.m_mutex);
        if (m_store.m_faults.isSilent) {
            return;
        }
        if (m_store.m_faults.resetsConnections) {
            HttpServerConnection *const connection = std::exchange(m_connection, nullptr);
            connection->abortAnswer();
            return;
        }
        const auto wait = m_query.find("wait_ms");
        m_feedDeadline =
            Deadline::after(m_store.m_clock.now(), Milliseconds(wait == m_query.end() ? 0 : std::stoi(wait->second)));
        m_timer.start(Deadline::after(m_store.m_clock.now(), m_store.m_faults.delay));
    }
    void callerGone() override
    {
        m_connection = nullptr;
        m_timer.stop();
    }

private:
    void proceed()
    {
        if (m_connection == nullptr) {
            return;
        }
        const std::lock_guard guard(m_store.m_mutex);
        if (m_store.m_faults.status != 0) {
            answer(m_store.m_faults.status, "");
        } else if (m_target.starts_with("/rows-get")) {
            get();
        } else if (m_target.starts_with("/rows-feed")) {
            feed();
        } else if (m_target.starts_with("/rows-tx")) {
            transact();
        } else {
            answer(404, "");
        }
    }

    void get()
    {
        const std::size_t limit = std::min<std::size_t>(mostRows, std::stoul(m_query["limit"]));
        std::vector<StandInRow> rows = m_store.m_tables.rows(m_query["table"], m_query["from"], limit + 1);
        const bool hasMore = rows.size() > limit;
        rows.resize(std::min(rows.size(), limit));
        answer(statusOk, rowsText(m_query["table"], rows, m_store.m_tables.version(), hasMore));
    }

    void feed()
    {
        const auto changes = m_store.m_tables.changesAfter(m_query["table"], std::stoull(m_query["after"]));
        if (!changes) {
            answer(statusGone, "{}");
        } else if (!changes->empty() || m_feedDeadline.hasPassed(m_store.m_clock.now())) {
            answer(statusOk, rowsText(m_query["table"], *changes, m_store.m_tables.version(), false));
        } else {
            m_timer.start(Deadline::after(m_store.m_clock.now(), feedPollInterval));
        }
    }

    void transact()
    {
        Poco::JSON::Parser parser;
        const auto transaction = parser.parse(m_body).extract<Poco::JSON::Object::Ptr>();
        const auto written = transaction->getArray("set_keys");
        for (std::size_t i = 0; i < written->size(); ++i) {
            const auto row = written->getObject(static_cast<unsigned>(i));
            m_store.m_tables.set(row->getValue<std::string>("table"), row->getValue<std::string>("key"),
                                 row->getValue<std::string>("value"));
        }
        const auto removed = transaction->getArray("remove");
        for (std::size_t i = 0; i < removed->size(); ++i) {
            const auto row = removed->getObject(static_cast<unsigned>(i));
            m_store.m_tables.remove(row->getValue<std::string>("table"), row->getValue<std::string>("key"));
        }
        if (m_store.m_faults.answersToDrop > 0) {
            --m_store.m_faults.answersToDrop;
            return;
        }
        answer(statusOk, "{\"ver\":" + std::to_string(m_store.m_tables.version()) + ",\"now\":\"1ms\"}");
    }

    void answer(int status, const std::string &body)
    {
        HttpServerConnection *const connection = std::exchange(m_connection, nullptr);
        std::vector<HeaderField> headers { { "Content-Type", "application/json" } };
        if (m_store.m_era) {
            headers.push_back({ "Store-Era", *m_store.m_era });
        }
        connection->answer({ status, {}, headers, {} }, body);
    }

    StoreStandIn &m_store;
    Timer m_timer;
    HttpServerConnection *m_connection { nullptr };
    std::string m_target;
    Query m_query;
    std::string m_body;
    Deadline m_feedDeadline;
};

StoreStandIn::StoreStandIn(const std::string &ip)
{
    Outcome<std::unique_ptr<EventLoop>> loop = capture([this] {
        return EventLoop::create(m_clock);
    });
    if (!loop) {
        throw std::runtime_error(loop.error().message);
    }
    m_loop = std::move(loop.value());
    Outcome<std::unique_ptr<HttpListener>> listener = capture([&] {
        return HttpListener::create(*m_loop, Poco::Net::SocketAddress(ip, 0), *this, *this);
    });
    if (!listener) {
        throw std::runtime_error(listener.error().message);
    }
    m_listener = std::move(listener.value());
    m_thread = std::thread([this] {
        m_loop->run();
    });
}

StoreStandIn::~StoreStandIn()
{
    m_loop->stop();
    m_thread.join();
    m_listener.reset();
}

std::string StoreStandIn::address() const
{
    return m_listener->address().toString();
}

void StoreStandIn::set(const std::string &table, const std::string &key, const std::string &content)
{
    const std::lock_guard guard(m_mutex);
    m_tables.set(table, key, encoded(content));
}

void StoreStandIn::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard guard(m_mutex);
    m_tables.remove(table, key);
}

std::string StoreStandIn::content(const std::string &table, const std::string &key)
{
    const std::lock_guard guard(m_mutex);
    const std::vector<StandInRow> rows = m_tables.rows(table, key, 1);
    return rows.empty() || rows.front().key != key ? std::string() : decoded(rows.front().value);
}

void StoreStandIn::dropHistory()
{
    const std::lock_guard guard(m_mutex);
    m_tables.dropHistory();
}

void StoreStandIn::setFaults(const StoreFaults &faults)
{
    const std::lock_guard guard(m_mutex);
    m_faults = faults;
}

StoreTables StoreStandIn::copy()
{
    const std::lock_guard guard(m_mutex);
    return m_tables;
}

void StoreStandIn::restore(const StoreTables &copy)
{
    const std::lock_guard guard(m_mutex);
    m_tables = copy;
    m_era = std::to_string(++m_restores + 1);
}

void StoreStandIn::setEra(const std::optional<std::string> &era)
{
    const std::lock_guard guard(m_mutex);
    m_era = era;
}

RefPointer<HttpRequestHandler> StoreStandIn::createHandler()
{
    return makeRefCounted<StoreStandInHandler>(*this);
}

} // namespace Sapphire
