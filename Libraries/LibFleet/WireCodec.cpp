#include <LibFleet/WireCodec.h>

#include <algorithm>
#include <array>
#include <limits>

namespace Sapphire {

namespace {

/// Deadlines that are further away are cut to this, so that the arithmetic on time points can't overflow.
constexpr Milliseconds longestInterval { 3'600'000 };
constexpr std::uint32_t largestPort = 65'535;
/// Batches of a batch have no use; the limit keeps a malformed message from exhausting the stack.
constexpr int deepestBatch = 2;
constexpr std::array<const char *, 4> requestStateNames { "not-run", "running", "ran", "may-have-run" };

std::uint32_t clampToMilliseconds(Microseconds interval)
{
    const auto whole = std::chrono::duration_cast<Milliseconds>(interval);
    return static_cast<std::uint32_t>(std::clamp(whole, Milliseconds(0), longestInterval).count());
}

template<typename Repeated>
void encodeKeys(const std::set<KeyId> &keys, Repeated &message)
{
    for (const KeyId &key : keys) {
        message.Add()->assign(key.text());
    }
}

template<typename Repeated>
std::set<KeyId> decodeKeys(const Repeated &message)
{
    std::set<KeyId> keys;
    for (const std::string &key : message) {
        keys.emplace(key);
    }
    return keys;
}

template<typename Repeated>
void encodeFields(const std::vector<HeaderField> &fields, Repeated &message)
{
    for (const HeaderField &field : fields) {
        wire::HeaderField *added = message.Add();
        added->set_name(field.name);
        added->set_value(field.value);
    }
}

template<typename Repeated>
std::vector<HeaderField> decodeFields(const Repeated &message)
{
    std::vector<HeaderField> fields;
    for (const wire::HeaderField &field : message) {
        fields.push_back({ field.name(), field.value() });
    }
    return fields;
}

void encodeBody(const CommandBody &body, wire::CommandBody &message);

/// Writes each kind of command into its own part of the message.
struct BodyEncoder
{
    wire::CommandBody &message;

    void operator()(const SetRegion &command) const
    {
        wire::SetRegion &part = *message.mutable_set_region();
        part.set_region(command.region.text());
        for (const RegionId &fallback : command.fallbacks) {
            part.add_fallbacks(fallback.text());
        }
    }
    void operator()(const SetCustomer &command) const
    {
        wire::SetCustomer &part = *message.mutable_set_customer();
        part.set_customer(command.customer.text());
        part.set_rate_per_second(command.ratePerSecond);
        part.set_burst(command.burst);
    }
    void operator()(const GrantKey &command) const
    {
        wire::GrantKey &part = *message.mutable_grant_key();
        part.set_key(command.key.text());
        part.set_customer(command.customer.text());
        part.set_secret_hash(command.secretHash);
    }
    void operator()(const WithdrawKey &command) const
    {
        message.set_withdraw_key(command.key.text());
    }
    void operator()(const SetService &command) const
    {
        wire::SetService &part = *message.mutable_set_service();
        part.set_service(command.service.id.text());
        part.set_is_open_to_all(command.service.isOpenToAll);
        part.set_default_timeout(command.service.defaultTimeout.count());
        part.set_shift_cap(command.service.shiftCap.value());
        part.set_shift_interval(command.service.shiftInterval.count());
        part.set_region_limit(command.service.regionLimit.value());
    }
    void operator()(const SetTarget &command) const
    {
        wire::SetTarget &part = *message.mutable_set_target();
        part.set_target(command.target.id.text());
        part.set_service(command.target.service.text());
        part.set_region(command.target.place.region.text());
        part.set_zone(command.target.place.availabilityZone.text());
        part.set_address(command.target.address);
        part.set_slots(command.target.slots);
        part.set_connection_limit(command.target.connectionLimit);
        part.set_is_drained(command.target.isDrained);
    }
    void operator()(const RemoveTarget &command) const
    {
        message.set_remove_target(command.target.text());
    }
    void operator()(const DrainTarget &command) const
    {
        wire::DrainTarget &part = *message.mutable_drain_target();
        part.set_target(command.target.text());
        part.set_is_drained(command.isDrained);
    }
    void operator()(const SetClientBlock &command) const
    {
        wire::SetClientBlock &part = *message.mutable_set_client_block();
        part.set_prefix(command.prefix);
        part.set_region(command.region.text());
    }
    void operator()(const RetireVm &command) const
    {
        encode(command.process, *message.mutable_retire_vm());
    }
    void operator()(const CommandBatch &batch) const
    {
        wire::CommandBatch &part = *message.mutable_batch();
        for (const CommandBody &command : batch.commands) {
            encodeBody(command, *part.add_commands());
        }
    }
};

void encodeBody(const CommandBody &body, wire::CommandBody &message)
{
    std::visit(BodyEncoder { message }, body);
}

SetRegion decodePart(const wire::SetRegion &message)
{
    SetRegion command { RegionId(message.region()), {} };
    for (const std::string &fallback : message.fallbacks()) {
        command.fallbacks.emplace_back(fallback);
    }
    return command;
}

SetService decodePart(const wire::SetService &message)
{
    SetService command;
    command.service.id = ServiceId(message.service());
    command.service.isOpenToAll = message.is_open_to_all();
    command.service.defaultTimeout = Milliseconds(message.default_timeout());
    command.service.shiftCap = Share(message.shift_cap());
    command.service.shiftInterval = Milliseconds(message.shift_interval());
    command.service.regionLimit = Share(message.region_limit());
    return command;
}

SetTarget decodePart(const wire::SetTarget &message)
{
    SetTarget command;
    command.target.id = TargetId(message.target());
    command.target.service = ServiceId(message.service());
    command.target.place = { RegionId(message.region()), AvailabilityZoneId(message.zone()) };
    command.target.address = message.address();
    command.target.slots = message.slots();
    command.target.connectionLimit = message.connection_limit();
    command.target.isDrained = message.is_drained();
    return command;
}

Result<CommandBody> decodeBody(const wire::CommandBody &message, int depth)
{
    switch (message.body_case()) {
    case wire::CommandBody::kSetRegion:
        return CommandBody(decodePart(message.set_region()));
    case wire::CommandBody::kSetCustomer:
        return CommandBody(SetCustomer { CustomerId(message.set_customer().customer()),
                                         message.set_customer().rate_per_second(), message.set_customer().burst() });
    case wire::CommandBody::kGrantKey:
        return CommandBody(GrantKey { KeyId(message.grant_key().key()), CustomerId(message.grant_key().customer()),
                                      message.grant_key().secret_hash() });
    case wire::CommandBody::kWithdrawKey:
        return CommandBody(WithdrawKey { KeyId(message.withdraw_key()) });
    case wire::CommandBody::kSetService:
        return CommandBody(decodePart(message.set_service()));
    case wire::CommandBody::kSetTarget:
        return CommandBody(decodePart(message.set_target()));
    case wire::CommandBody::kRemoveTarget:
        return CommandBody(RemoveTarget { TargetId(message.remove_target()) });
    case wire::CommandBody::kDrainTarget:
        return CommandBody(
            DrainTarget { TargetId(message.drain_target().target()), message.drain_target().is_drained() });
    case wire::CommandBody::kSetClientBlock:
        return CommandBody(
            SetClientBlock { message.set_client_block().prefix(), RegionId(message.set_client_block().region()) });
    case wire::CommandBody::kRetireVm:
        return CommandBody(RetireVm { decode(message.retire_vm()) });
    case wire::CommandBody::kBatch:
        break;
    case wire::CommandBody::BODY_NOT_SET:
        return fail(ErrorCode::InvalidArgument, "a log entry has no command or one of a kind that is not known here");
    }
    if (depth >= deepestBatch) {
        return fail(ErrorCode::InvalidArgument, "a command batch is nested too deeply");
    }
    CommandBatch batch;
    for (const wire::CommandBody &part : message.batch().commands()) {
        BOOST_LEAF_AUTO(command, decodeBody(part, depth + 1));
        batch.commands.push_back(std::move(command));
    }
    return CommandBody(std::move(batch));
}

Result<void> require(bool isPresent, const char *what)
{
    if (!isPresent) {
        return fail(ErrorCode::InvalidArgument, std::string("a message of another VM lacks ") + what);
    }
    return {};
}

} // namespace

std::uint32_t encodeAge(TimePoint at, TimePoint now)
{
    // Rounded up, since an age may make a statement look older but never younger.
    return clampToMilliseconds(now - at + Microseconds(999));
}

TimePoint decodeAge(std::uint32_t age, TimePoint measuredFrom)
{
    return measuredFrom - std::min<Milliseconds>(Milliseconds(age), longestInterval);
}

std::uint32_t encodeRemaining(Deadline deadline, TimePoint now)
{
    return clampToMilliseconds(deadline.remaining(now));
}

void encode(const VmIncarnation &process, wire::Process &message)
{
    message.set_vm(process.vm.text());
    message.set_incarnation(process.incarnation.value());
}

VmIncarnation decode(const wire::Process &message)
{
    return { VmId(message.vm()), Incarnation(message.incarnation()) };
}

void encode(const VmEndpoints &endpoints, wire::Endpoints &message)
{
    message.set_address(endpoints.address);
    message.set_caller_port(endpoints.callerPort);
    message.set_fleet_port(endpoints.fleetPort);
}

Result<VmEndpoints> decode(const wire::Endpoints &message)
{
    BOOST_LEAF_CHECK(require(!message.address().empty(), "the address of a VM"));
    if (message.caller_port() > largestPort || message.fleet_port() > largestPort) {
        return fail(ErrorCode::InvalidArgument, "a VM's port is above 65535");
    }
    return VmEndpoints { message.address(), static_cast<std::uint16_t>(message.caller_port()),
                         static_cast<std::uint16_t>(message.fleet_port()) };
}

void encode(const Statement &statement, TimePoint now, wire::Statement &message)
{
    encode(statement.process, *message.mutable_process());
    message.set_region(statement.region.text());
    message.set_age(encodeAge(statement.statedAt, now));
    message.set_version(statement.version.value());
    encodeKeys(statement.pendingWithdrawals, *message.mutable_withdrawals());
}

Result<Statement> decode(const wire::Statement &message, TimePoint measuredFrom)
{
    BOOST_LEAF_CHECK(require(!message.process().vm().empty(), "the VM of a statement"));
    BOOST_LEAF_CHECK(require(!message.region().empty(), "the region of a statement"));
    Statement statement;
    statement.process = decode(message.process());
    statement.region = RegionId(message.region());
    statement.statedAt = decodeAge(message.age(), measuredFrom);
    statement.version = ConfigurationVersion(message.version());
    statement.pendingWithdrawals = decodeKeys(message.withdrawals());
    return statement;
}

void encode(const FleetMember &member, bool withIdentity, TimePoint now, wire::Member &message)
{
    message.set_key(member.key);
    if (withIdentity) {
        encode(member.process, *message.mutable_process());
        encode(member.endpoints, *message.mutable_endpoints());
    }
    message.set_revision(member.revision);
    message.set_version(member.version.value());
    message.set_is_leaving(member.isLeaving);
    message.set_is_stale(!member.isFresh);
    encodeKeys(member.withdrawals, *message.mutable_withdrawals());
    message.set_age(encodeAge(member.heardAt, now));
}

Result<FleetMember> decode(const wire::Member &message, TimePoint measuredFrom)
{
    FleetMember member;
    member.key = message.key();
    if (message.has_process()) {
        member.process = decode(message.process());
        BOOST_LEAF_ASSIGN(member.endpoints, decode(message.endpoints()));
        if (wireKeyOf(member.process) != member.key) {
            return fail(ErrorCode::InvalidArgument, "the key of member " + message.process().vm() + " is wrong");
        }
    }
    member.revision = message.revision();
    member.version = ConfigurationVersion(message.version());
    member.isLeaving = message.is_leaving();
    member.isFresh = !message.is_stale();
    member.withdrawals = decodeKeys(message.withdrawals());
    member.heardAt = decodeAge(message.age(), measuredFrom);
    return member;
}

void encode(const ZoneSummary &summary, TimePoint now, wire::ZoneSummary &message)
{
    message.set_region(summary.place.region.text());
    message.set_zone(summary.place.availabilityZone.text());
    message.set_age(encodeAge(summary.statedAt, now));
    message.set_lowest_version(summary.lowestVersion.value());
    for (const ZoneSummary::Unconfirmed &vm : summary.unconfirmed) {
        wire::UnconfirmedVm *added = message.add_unconfirmed();
        added->set_key(vm.key);
        added->set_version(vm.version.value());
    }
    encodeKeys(summary.withdrawals, *message.mutable_withdrawals());
    message.mutable_suspects()->Add(summary.suspects.begin(), summary.suspects.end());
    message.mutable_leaving()->Add(summary.leaving.begin(), summary.leaving.end());
    message.mutable_stale()->Add(summary.stale.begin(), summary.stale.end());
    message.set_directory_digest(summary.directoryDigest);
}

Result<ZoneSummary> decode(const wire::ZoneSummary &message, TimePoint measuredFrom)
{
    BOOST_LEAF_CHECK(require(!message.region().empty() && !message.zone().empty(), "the place of a zone summary"));
    ZoneSummary summary;
    summary.place = { RegionId(message.region()), AvailabilityZoneId(message.zone()) };
    summary.statedAt = decodeAge(message.age(), measuredFrom);
    summary.lowestVersion = ConfigurationVersion(message.lowest_version());
    for (const wire::UnconfirmedVm &vm : message.unconfirmed()) {
        summary.unconfirmed.push_back({ vm.key(), ConfigurationVersion(vm.version()) });
    }
    summary.withdrawals = decodeKeys(message.withdrawals());
    summary.suspects.assign(message.suspects().begin(), message.suspects().end());
    summary.leaving.assign(message.leaving().begin(), message.leaving().end());
    summary.stale.assign(message.stale().begin(), message.stale().end());
    summary.directoryDigest = message.directory_digest();
    return summary;
}

void encode(const ZoneDirectory &directory, wire::ZoneDirectory &message)
{
    message.set_region(directory.place.region.text());
    message.set_zone(directory.place.availabilityZone.text());
    for (const ZoneDirectory::Vm &vm : directory.vms) {
        wire::DirectoryVm *added = message.add_vms();
        encode(vm.process, *added->mutable_process());
        encode(vm.endpoints, *added->mutable_endpoints());
    }
}

Result<ZoneDirectory> decode(const wire::ZoneDirectory &message)
{
    BOOST_LEAF_CHECK(require(!message.region().empty() && !message.zone().empty(), "the place of a zone directory"));
    ZoneDirectory directory { { RegionId(message.region()), AvailabilityZoneId(message.zone()) }, {} };
    for (const wire::DirectoryVm &vm : message.vms()) {
        BOOST_LEAF_CHECK(require(!vm.process().vm().empty(), "the name of a VM"));
        BOOST_LEAF_AUTO(endpoints, decode(vm.endpoints()));
        directory.vms.push_back({ decode(vm.process()), std::move(endpoints) });
    }
    return directory;
}

void encode(const TargetReport &report, TimePoint now, wire::TargetReport &message)
{
    message.set_target(report.target.text());
    message.set_observer(report.observer.text());
    message.set_age(encodeAge(report.observedAt, now));
    message.set_health(static_cast<std::uint32_t>(report.health));
    message.set_in_flight(report.inFlight);
    message.set_slots(report.slots);
    message.set_latency_microseconds(static_cast<std::uint64_t>(std::max<std::int64_t>(report.latency.count(), 0)));
}

Result<TargetReport> decode(const wire::TargetReport &message, TimePoint measuredFrom)
{
    constexpr std::uint64_t longestLatency = 3'600'000'000;
    BOOST_LEAF_CHECK(require(!message.target().empty() && !message.observer().empty(), "the names in a target report"));
    if (message.health() > static_cast<std::uint32_t>(TargetHealth::Unreachable)) {
        return fail(ErrorCode::InvalidArgument, "the health of target " + message.target() + " is out of bounds");
    }
    TargetReport report;
    report.target = TargetId(message.target());
    report.observer = VmId(message.observer());
    report.observedAt = decodeAge(message.age(), measuredFrom);
    report.health = static_cast<TargetHealth>(message.health());
    report.inFlight = message.in_flight();
    report.slots = message.slots();
    report.latency = Microseconds(std::min(message.latency_microseconds(), longestLatency));
    return report;
}

void encode(const RegionRoom &room, TimePoint now, wire::RegionRoom &message)
{
    message.set_region(room.region.text());
    message.set_service(room.service.text());
    message.set_age(encodeAge(room.statedAt, now));
    message.set_slots(room.slots);
    message.set_busy(room.busy);
}

Result<RegionRoom> decode(const wire::RegionRoom &message, TimePoint measuredFrom)
{
    BOOST_LEAF_CHECK(require(!message.region().empty() && !message.service().empty(), "the names in a region's room"));
    return RegionRoom { RegionId(message.region()), ServiceId(message.service()),
                        decodeAge(message.age(), measuredFrom), message.slots(), message.busy() };
}

void encode(const CrashSuspect &suspect, TimePoint now, wire::CrashSuspect &message)
{
    message.set_fingerprint(suspect.fingerprint.text());
    message.set_age(encodeAge(suspect.lastSeenAt, now));
    message.set_crashes(suspect.crashes);
}

Result<CrashSuspect> decode(const wire::CrashSuspect &message, TimePoint measuredFrom)
{
    BOOST_LEAF_CHECK(require(!message.fingerprint().empty(), "the fingerprint of a crash suspect"));
    return CrashSuspect { Fingerprint(message.fingerprint()), decodeAge(message.age(), measuredFrom),
                          message.crashes() };
}

void encode(const LogEntry &entry, wire::LogEntry &message)
{
    message.set_version(entry.version.value());
    message.set_command_id(entry.command.id.text());
    message.set_operator_id(entry.command.operatorId.text());
    if (entry.command.seen) {
        message.set_seen_version(entry.command.seen->value());
    }
    message.set_wall_time_microseconds(entry.command.wallTime.count());
    encodeBody(entry.command.body, *message.mutable_body());
}

Result<LogEntry> decode(const wire::LogEntry &message)
{
    LogEntry entry;
    entry.version = ConfigurationVersion(message.version());
    entry.command.id = CommandId(message.command_id());
    entry.command.operatorId = OperatorId(message.operator_id());
    if (message.has_seen_version()) {
        entry.command.seen = ConfigurationVersion(message.seen_version());
    }
    entry.command.wallTime = Microseconds(message.wall_time_microseconds());
    BOOST_LEAF_ASSIGN(entry.command.body, decodeBody(message.body(), 0));
    return entry;
}

void encode(const RequestHead &head, TimePoint now, wire::RequestHead &message)
{
    message.set_service(head.service.text());
    message.set_customer(head.customer.text());
    message.set_method(head.method);
    message.set_path(head.path);
    encodeFields(head.headers, *message.mutable_headers());
    message.set_id(head.id.text());
    message.set_is_idempotent(head.isIdempotent);
    message.set_remaining(encodeRemaining(head.deadline, now));
    if (head.trace) {
        message.set_traceparent(head.trace->header());
    }
    if (head.bodyBytes) {
        message.set_body_bytes(*head.bodyBytes);
    }
}

Result<RequestHead> decode(const wire::RequestHead &message, TimePoint now)
{
    BOOST_LEAF_CHECK(require(!message.service().empty(), "the service of a request"));
    BOOST_LEAF_CHECK(require(!message.method().empty(), "the method of a request"));
    BOOST_LEAF_CHECK(require(message.path().starts_with('/'), "the path of a request"));
    RequestHead head;
    head.service = ServiceId(message.service());
    head.customer = CustomerId(message.customer());
    head.method = message.method();
    head.path = message.path();
    head.headers = decodeFields(message.headers());
    head.id = RequestId(message.id());
    head.isIdempotent = message.is_idempotent();
    head.deadline = Deadline::after(now, std::min<Milliseconds>(Milliseconds(message.remaining()), longestInterval));
    head.trace = TraceContext::parse(message.traceparent());
    if (message.has_body_bytes()) {
        head.bodyBytes = message.body_bytes();
    }
    return head;
}

void encode(const AnswerHead &head, wire::AnswerHead &message)
{
    message.set_status(head.status);
    encodeFields(head.headers, *message.mutable_headers());
    if (head.bodyBytes) {
        message.set_body_bytes(*head.bodyBytes);
    }
    message.set_target(head.target.text());
    message.set_region(head.place.region.text());
    message.set_zone(head.place.availabilityZone.text());
    message.set_vm(head.vm.text());
}

Result<AnswerHead> decode(const wire::AnswerHead &message)
{
    constexpr int leastStatus = 100;
    constexpr int greatestStatus = 599;
    if (message.status() < leastStatus || message.status() > greatestStatus) {
        return fail(ErrorCode::InvalidArgument, "the status " + std::to_string(message.status()) + " is out of bounds",
                    Verdict::MayHaveRun);
    }
    AnswerHead head;
    head.status = message.status();
    head.headers = decodeFields(message.headers());
    if (message.has_body_bytes()) {
        head.bodyBytes = message.body_bytes();
    }
    head.target = TargetId(message.target());
    head.place = { RegionId(message.region()), AvailabilityZoneId(message.zone()) };
    head.vm = VmId(message.vm());
    return head;
}

void encode(const Refusal &refusal, TimePoint now, wire::Refusal &message)
{
    message.set_reason(std::string(nameOf(refusal.reason)));
    message.set_verdict(std::string(nameOf(refusal.verdict)));
    message.set_detail(refusal.detail);
    if (refusal.retryAt) {
        message.set_retry_in(encodeRemaining(*refusal.retryAt, now));
    }
    for (const AlternativeVm &alternative : refusal.alternatives) {
        wire::AlternativeVm *added = message.add_alternatives();
        added->set_vm(alternative.vm.text());
        added->set_caller_address(alternative.callerAddress);
        added->set_region(alternative.place.region.text());
        added->set_zone(alternative.place.availabilityZone.text());
    }
}

Result<Refusal> decode(const wire::Refusal &message, TimePoint now)
{
    const std::optional<Verdict> verdict = verdictFromString(message.verdict());
    if (!verdict) {
        return fail(ErrorCode::InvalidArgument, "found the verdict '" + message.verdict() + "' in a refusal",
                    Verdict::MayHaveRun);
    }
    Refusal refusal;
    refusal.reason = refusalReasonFromString(message.reason()).value_or(RefusalReason::Internal);
    refusal.verdict = *verdict;
    refusal.detail = message.detail();
    if (message.has_retry_in()) {
        refusal.retryAt =
            Deadline::after(now, std::min<Milliseconds>(Milliseconds(message.retry_in()), longestInterval));
    }
    for (const wire::AlternativeVm &alternative : message.alternatives()) {
        refusal.alternatives.push_back({ VmId(alternative.vm()),
                                         alternative.caller_address(),
                                         { RegionId(alternative.region()), AvailabilityZoneId(alternative.zone()) } });
    }
    return refusal;
}

void encode(const RemoteRequestState &state, wire::RequestStateResponse &message)
{
    message.set_state(requestStateNames.at(static_cast<std::size_t>(state.kind)));
    message.set_result(state.result);
}

Result<RemoteRequestState> decode(const wire::RequestStateResponse &message)
{
    const auto *const found = std::find(requestStateNames.begin(), requestStateNames.end(), message.state());
    if (found == requestStateNames.end()) {
        return fail(ErrorCode::InvalidArgument, "found the request state '" + message.state() + "'");
    }
    return RemoteRequestState { static_cast<RemoteRequestStateKind>(found - requestStateNames.begin()),
                                message.result() };
}

} // namespace Sapphire
