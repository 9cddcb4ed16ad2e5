#include <StandIns/FaultProxy/ProxyWorker.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <future>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace Sapphire {

namespace {

constexpr unsigned kindBits = 3;
constexpr std::uint64_t kindMask = (1U << kindBits) - 1;
constexpr std::size_t eventsPerRound = 256;
// Bounds how long clients are still refused after the server has come back.
constexpr Milliseconds probeInterval { 50 };

int socketError(int socket)
{
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
    return error;
}

} // namespace

Result<std::unique_ptr<ProxyWorker>> ProxyWorker::create()
{
    std::unique_ptr<ProxyWorker> worker(new ProxyWorker);
    worker->m_epoll = FileHandle(::epoll_create1(EPOLL_CLOEXEC));
    worker->m_wake = FileHandle(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    worker->m_timer = FileHandle(::timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC));
    if (!worker->m_epoll.isOpen() || !worker->m_wake.isOpen() || !worker->m_timer.isOpen()) {
        return fail(ErrorCode::ResourceExhausted, "cannot create the proxy's epoll, event and timer descriptors");
    }
    worker->updateEpoll(EPOLL_CTL_ADD, worker->m_wake.number(), 0, Kind::Wake, EPOLLIN);
    worker->updateEpoll(EPOLL_CTL_ADD, worker->m_timer.number(), 0, Kind::Timer, EPOLLIN);
    worker->m_thread = std::thread([pointer = worker.get()] {
        pointer->run();
    });
    return worker;
}

ProxyWorker::~ProxyWorker()
{
    if (m_thread.joinable()) {
        runInWorker([this] {
            m_isStopping = true;
        });
        m_thread.join();
    }
    // The destructor of a connection updates its link's counters, so connections go first.
    m_connections.clear();
}

Result<void> ProxyWorker::addLink(const LinkSettings &settings)
{
    auto link = std::make_unique<ProxyLink>(settings);
    BOOST_LEAF_CHECK(link->openListener());
    runInWorker([&] {
        const std::uint64_t id = ++m_lastId;
        updateEpoll(EPOLL_CTL_ADD, link->listener.number(), id, Kind::Listener, EPOLLIN);
        m_links.emplace(id, std::move(link));
    });
    return {};
}

std::size_t ProxyWorker::apply(const FaultCommand &command)
{
    std::size_t selected = 0;
    runInWorker([&] {
        for (auto &[id, link] : m_links) {
            if (command.selects(link->settings.name)) {
                applyTo(id, *link, command);
                ++selected;
            }
        }
    });
    return selected;
}

std::vector<LinkCounters> ProxyWorker::counters()
{
    std::vector<LinkCounters> result;
    runInWorker([&] {
        for (const auto &[id, link] : m_links) {
            result.push_back(link->counters);
        }
    });
    return result;
}

void ProxyWorker::run()
{
    std::array<epoll_event, eventsPerRound> events {};
    while (!m_isStopping) {
        armTimer();
        const int count = ::epoll_wait(m_epoll.number(), events.data(), static_cast<int>(events.size()), -1);
        for (int i = 0; i < count; ++i) {
            const epoll_event &event = events.at(static_cast<std::size_t>(i));
            handle(event.data.u64, event.events);
        }
        runDue();
    }
}

void ProxyWorker::runInWorker(const std::function<void()> &job)
{
    std::promise<void> done;
    {
        const std::lock_guard guard(m_jobMutex);
        m_jobs.emplace_back([&] {
            job();
            done.set_value();
        });
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t ignored = ::write(m_wake.number(), &one, sizeof(one));
    done.get_future().wait();
}

void ProxyWorker::runJobs()
{
    std::uint64_t value = 0;
    [[maybe_unused]] const ssize_t ignored = ::read(m_wake.number(), &value, sizeof(value));
    std::vector<std::function<void()>> jobs;
    {
        const std::lock_guard guard(m_jobMutex);
        jobs.swap(m_jobs);
    }
    for (const auto &job : jobs) {
        job();
    }
}

void ProxyWorker::handle(std::uint64_t value, std::uint32_t events)
{
    const std::uint64_t id = value >> kindBits;
    switch (static_cast<Kind>(value & kindMask)) {
    case Kind::Wake:
        runJobs();
        break;
    case Kind::Timer:
        // Only ends epoll_wait(); runDue() reads the clock itself.
        break;
    case Kind::Listener:
        if (const auto found = m_links.find(id); found != m_links.end() && (events & EPOLLIN) != 0) {
            acceptAll(id, *found->second);
        }
        break;
    case Kind::Probe:
        handleProbe(id);
        break;
    case Kind::Client:
        handleConnection(id, Direction::ToServer);
        break;
    case Kind::Server:
        handleConnection(id, Direction::ToClient);
        break;
    }
}

void ProxyWorker::handleConnection(std::uint64_t id, Direction source)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    Entry &entry = *found->second;
    ProxyConnection &connection = entry.connection;
    if (source == Direction::ToClient && connection.isConnecting()) {
        if (!finishConnecting(entry)) {
            return;
        }
    } else {
        connection.read(source, m_clock.now());
    }
    serve(entry);
}

bool ProxyWorker::finishConnecting(Entry &entry)
{
    ProxyConnection &connection = entry.connection;
    const int error = socketError(connection.source(Direction::ToClient));
    if (error == 0) {
        connection.setConnected();
        return true;
    }
    ProxyLink &link = connection.link();
    connection.reset();
    drop(connection.id());
    if (error == ECONNREFUSED) {
        for (const auto &[id, candidate] : m_links) {
            if (candidate.get() == &link) {
                serverRefused(id, link);
            }
        }
    }
    return false;
}

void ProxyWorker::serverRefused(std::uint64_t id, ProxyLink &link)
{
    if (link.isServerDown) {
        return;
    }
    // Clients must be refused where the server refuses, because a refused connection means that no request has run.
    link.isServerDown = true;
    link.listener.close();
    scheduleLink(id);
}

void ProxyWorker::startProbe(std::uint64_t id, ProxyLink &link)
{
    link.probe = link.startConnecting();
    if (link.probe.isOpen()) {
        updateEpoll(EPOLL_CTL_ADD, link.probe.number(), id, Kind::Probe, EPOLLOUT);
    } else {
        scheduleLink(id);
    }
}

void ProxyWorker::handleProbe(std::uint64_t id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end() || !found->second->probe.isOpen()) {
        return;
    }
    ProxyLink &link = *found->second;
    const bool isConnected = socketError(link.probe.number()) == 0;
    link.probe.close();
    if (isConnected) {
        link.isServerDown = false;
        reopenListener(id, link);
    } else {
        scheduleLink(id);
    }
}

void ProxyWorker::reopenListener(std::uint64_t id, ProxyLink &link)
{
    if (link.listener.isOpen() || link.isServerDown || link.faults.isCut) {
        return;
    }
    if (capture([&] {
            return link.openListener();
        })) {
        updateEpoll(EPOLL_CTL_ADD, link.listener.number(), id, Kind::Listener, EPOLLIN);
    } else {
        scheduleLink(id);
    }
}

void ProxyWorker::applyTo(std::uint64_t id, ProxyLink &link, const FaultCommand &command)
{
    link.setFaults(command.faults);
    if (link.faults.isCut) {
        link.listener.close();
    } else {
        reopenListener(id, link);
    }
    for (const std::uint64_t connection : connectionsOf(link)) {
        Entry &entry = *m_connections.at(connection);
        for (const Direction direction : bothDirections) {
            if (command.silenceExisting[direction] || link.faults.isSilent[direction]) {
                entry.connection.silence(direction);
            }
        }
        if (command.resetExisting || link.faults.isCut) {
            entry.connection.reset();
        }
        serve(entry);
    }
}

void ProxyWorker::acceptAll(std::uint64_t id, ProxyLink &link)
{
    while (link.listener.isOpen()) {
        FileHandle client(::accept4(link.listener.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!client.isOpen()) {
            return;
        }
        const int on = 1;
        ::setsockopt(client.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        FileHandle server = link.startConnecting();
        if (server.isOpen()) {
            addConnection(link, std::move(client), std::move(server));
            continue;
        }
        const linger immediately { 1, 0 };
        ::setsockopt(client.number(), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        serverRefused(id, link);
    }
}

void ProxyWorker::addConnection(ProxyLink &link, FileHandle client, FileHandle server)
{
    const std::uint64_t id = ++m_lastId;
    auto entry = std::make_unique<Entry>(id, link, std::move(client), std::move(server), m_clock.now());
    Entry &added = *m_connections.emplace(id, std::move(entry)).first->second;
    serve(added);
}

void ProxyWorker::serve(Entry &entry)
{
    const TimePoint now = m_clock.now();
    for (const Direction direction : bothDirections) {
        entry.connection.write(direction, now);
    }
    if (entry.connection.isFinished()) {
        drop(entry.connection.id());
        return;
    }
    for (const Direction source : bothDirections) {
        updateInterest(entry, source);
    }
    schedule(entry);
}

void ProxyWorker::updateInterest(Entry &entry, Direction source)
{
    const std::uint32_t wanted = entry.connection.interest(source);
    const std::uint32_t registered = std::exchange(entry.interest[source], wanted);
    if (wanted == registered) {
        return;
    }
    // A socket without interest is removed, because epoll would report its error or hang-up again in every round.
    const int operation = wanted == 0 ? EPOLL_CTL_DEL : registered == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    const Kind kind = source == Direction::ToServer ? Kind::Client : Kind::Server;
    updateEpoll(operation, entry.connection.source(source), entry.connection.id(), kind, wanted);
}

void ProxyWorker::schedule(Entry &entry)
{
    for (const Direction direction : bothDirections) {
        const std::optional<TimePoint> next = entry.connection.nextWrite(direction);
        if (next && (!entry.scheduled || *next < *entry.scheduled)) {
            entry.scheduled = next;
            m_due.emplace(*next, Due { entry.connection.id(), false });
        }
    }
}

void ProxyWorker::scheduleLink(std::uint64_t id)
{
    m_due.emplace(m_clock.now() + probeInterval, Due { id, true });
}

void ProxyWorker::runDue()
{
    // Compares with the time at the start, so that what is scheduled meanwhile waits for the next round.
    const TimePoint now = m_clock.now();
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto [time, due] = *m_due.begin();
        m_due.erase(m_due.begin());
        if (due.isLink) {
            const auto link = m_links.find(due.id);
            if (link != m_links.end() && link->second->isServerDown) {
                startProbe(due.id, *link->second);
            } else if (link != m_links.end()) {
                reopenListener(due.id, *link->second);
            }
            continue;
        }
        const auto found = m_connections.find(due.id);
        if (found != m_connections.end()) {
            if (found->second->scheduled == time) {
                found->second->scheduled.reset();
            }
            serve(*found->second);
        }
    }
}

void ProxyWorker::armTimer()
{
    itimerspec setting {};
    if (!m_due.empty()) {
        // A time of zero would switch the timer off.
        const Microseconds at = std::max(m_due.begin()->first.time_since_epoch(), Microseconds(1));
        const auto seconds = std::chrono::floor<std::chrono::seconds>(at);
        setting.it_value.tv_sec = seconds.count();
        setting.it_value.tv_nsec = std::chrono::nanoseconds(at - seconds).count();
    }
    ::timerfd_settime(m_timer.number(), TFD_TIMER_ABSTIME, &setting, nullptr);
}

void ProxyWorker::drop(std::uint64_t id)
{
    m_connections.erase(id);
}

std::vector<std::uint64_t> ProxyWorker::connectionsOf(const ProxyLink &link) const
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, entry] : m_connections) {
        if (&entry->connection.link() == &link) {
            ids.push_back(id);
        }
    }
    return ids;
}

void ProxyWorker::updateEpoll(int operation, int file, std::uint64_t id, Kind kind, std::uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = (id << kindBits) | static_cast<std::uint64_t>(kind);
    ::epoll_ctl(m_epoll.number(), operation, file, &event);
}

} // namespace Sapphire
