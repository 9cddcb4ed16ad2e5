#include <LibGateway/HealthChecker.h>

#include <LibGateway/GatewayEvents.h>

#include <charconv>

namespace Sapphire {

namespace {

constexpr Milliseconds checkInterval { 25 };
// A health check waits for a slot like any request, and slots may be busy for seconds.
constexpr Milliseconds longestCheck { 1'000 };
// A target without a free slot is checked again after this time.
constexpr Milliseconds fullPause { 200 };
// Health answers are small; a target that sends a larger one is faulty.
constexpr std::size_t mostAnswerBytes = 65'536;
constexpr int statusOk = 200;

} // namespace

/// One health check of a target.
class HealthChecker::Check final : public RefCounted<Check>, private TargetSessionListener
{
public:
    Check(HealthChecker &checker, RefPointer<GatewayTarget> target)
        : m_checker(checker)
        , m_target(std::move(target))
        , m_targetStartedAtMilliseconds(m_target->entry().startedAtMilliseconds)
        , m_timer(checker.m_loop, [this] {
            fail();
        })
    {
    }
    ~Check() override
    {
        if (m_session) {
            m_session->abandon();
        }
    }

    void start(const std::string &path)
    {
        Outcome<RefPointer<TargetSession>> session = capture([this] {
            return m_target->acquire(m_checker.m_loop.now());
        });
        if (!session) {
            fail();
            return;
        }
        m_session = std::move(session.value());
        m_timer.start(Deadline::after(m_checker.m_loop.now(), longestCheck));
        m_session->begin(*this, "GET " + path + " HTTP/1.1\r\nHost: " + m_target->entry().address.text() + "\r\n\r\n",
                         {}, false);
        m_session->completeRequest();
    }

private:
    void answerStarted(const HttpHead &head) override
    {
        m_head = head;
        m_checker.takeHead(*m_target, m_targetStartedAtMilliseconds, head);
    }
    void answerBody(std::string_view bytes) override
    {
        m_bodyBytes += bytes.size();
        if (m_bodyBytes > mostAnswerBytes) {
            fail();
        }
    }
    void answerFinished() override
    {
        const RefPointer<Check> self(this);
        m_timer.stop();
        m_target->release(m_session);
        m_session.reset();
        m_checker.takeAnswer(*m_target, m_head);
        m_checker.end(m_target->id());
    }
    void exchangeFailed(SessionFailure, const std::string &) override
    {
        fail();
    }
    void requestDrained() override
    {
    }

    void fail()
    {
        const RefPointer<Check> self(this);
        m_timer.stop();
        if (m_session) {
            m_session->abandon();
            m_session.reset();
        }
        m_checker.takeFailure(*m_target);
        m_checker.end(m_target->id());
    }

    HealthChecker &m_checker;
    RefPointer<GatewayTarget> m_target;
    std::int64_t m_targetStartedAtMilliseconds;
    RefPointer<TargetSession> m_session;
    Timer m_timer;
    HttpHead m_head;
    std::size_t m_bodyBytes { 0 };
};

HealthChecker::HealthChecker(EventLoop &loop, const WireNames &names, TargetRegistry &targets,
                             TargetNoticeReader &noticeReader, std::function<void(const ServiceId &)> onChecked,
                             std::function<void(const TargetId &)> onDied)
    : m_loop(loop)
    , m_names(names)
    , m_targets(targets)
    , m_noticeReader(noticeReader)
    , m_onChecked(std::move(onChecked))
    , m_onDied(std::move(onDied))
    , m_timer(loop, [this] {
        checkDue();
    })
{
    m_timer.start(Deadline::after(loop.now(), checkInterval));
}

HealthChecker::~HealthChecker() = default;

void HealthChecker::applyRules(const RefPointer<const ServingRules> &rules)
{
    m_rules = rules;
}

void HealthChecker::checkDue()
{
    std::vector<RefPointer<GatewayTarget>> due;
    std::erase_if(m_targets.toCheck(), [&](const RefPointer<GatewayTarget> &target) {
        if (isDue(*target)) {
            due.push_back(target);
        }
        return !target->needsCheck();
    });
    for (const RefPointer<GatewayTarget> &target : due) {
        begin(target);
    }
    m_timer.start(Deadline::after(m_loop.now(), checkInterval));
}

bool HealthChecker::isDue(GatewayTarget &target) const
{
    const bool isTime = !target.failures().isEjected() || target.failures().nextCheckAt().hasPassed(m_loop.now());
    return target.needsCheck() && isTime && target.nextCheckAt().hasPassed(m_loop.now()) && m_targets.takesWork(target)
        && !target.notices().isPaused(m_loop.now()) && !m_checks.contains(target.id());
}

void HealthChecker::begin(const RefPointer<GatewayTarget> &target)
{
    const ServiceRules *const service = m_rules ? m_rules->findService(target->entry().service) : nullptr;
    if (service == nullptr) {
        return;
    }
    const RefPointer<Check> check = makeRefCounted<Check>(*this, target);
    m_checks.emplace(target->id(), check);
    check->start(service->healthPath);
}

bool HealthChecker::isFromOther(const GatewayTarget &target, const HttpHead &head) const
{
    return head.header(m_names.targetId).value_or(target.id().text()) != target.id().text();
}

void HealthChecker::takeHead(GatewayTarget &target, std::int64_t startedAtMilliseconds, const HttpHead &head)
{
    if (!isFromOther(target, head)) {
        m_noticeReader.read(target, startedAtMilliseconds, head, "health-check");
    }
}

void HealthChecker::takeAnswer(GatewayTarget &target, const HttpHead &head)
{
    const TimePoint now = m_loop.now();
    if (isFromOther(target, head)) {
        m_onDied(target.id());
        target.noteUnreachable(now);
        return;
    }
    if (head.header(m_names.notRun) || target.notices().isPaused(now) || target.notices().isLeaving()) {
        // The target has no free slot or wants no requests, so it is alive; whether its caches are empty is still
        // unknown.
        target.setNextCheckAt(Deadline::after(now, fullPause));
        return;
    }
    if (head.status != statusOk) {
        target.noteUnreachable(now);
        return;
    }
    std::int64_t coldMilliseconds = 0;
    if (const std::optional<std::string_view> cold = head.header(m_names.coldTime)) {
        std::from_chars(cold->data(), cold->data() + cold->size(), coldMilliseconds);
    }
    const bool wasEjected = target.failures().isEjected();
    if (target.isUnverified() && coldMilliseconds > 0) {
        m_onDied(target.id());
    }
    target.noteCheckPassed(now + Milliseconds(coldMilliseconds));
    if (wasEjected) {
        logEvent(GatewayEvents::targetBack, { { "target", target.id() }, { "coldMilliseconds", coldMilliseconds } });
    }
    m_onChecked(target.entry().service);
}

void HealthChecker::takeFailure(GatewayTarget &target)
{
    if (!target.failures().isEjected()) {
        logEvent(GatewayEvents::targetOut, { { "target", target.id() }, { "detail", "health check failed" } });
    }
    target.setUnverified();
    target.noteUnreachable(m_loop.now());
    m_onDied(target.id());
}

void HealthChecker::end(const TargetId &target)
{
    m_checks.erase(target);
}

} // namespace Sapphire
