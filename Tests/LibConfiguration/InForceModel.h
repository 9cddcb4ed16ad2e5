#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Sapphire {

/// A rule of freshness or of the in-force decision that the model omits, to show that it is needed.
enum class DroppedRule {
    None,
    Wait, ///< A change is in force as soon as the unconfirmed VMs don't cover a majority of the regions.
    WaitFromConfirmation, ///< The wait starts at the write, not at the last confirmation.
    Span, ///< Unconfirmed VMs may cover a majority of the regions.
    NewerStatements, ///< Statements with a newer version count as evidence.
    RelayedAge, ///< The age of a relayed statement is counted from its receipt.
    ReadBeforeContact, ///< A contact with the store counts as evidence although the rows were not read.
    FreshnessLimit, ///< Statements never expire.
    StartMajority, ///< A VM without state counts its own region towards a majority.
    StartSilence, ///< Statements of a VM without state count as evidence.
};

/// One state of the model: six VMs, two in each of three regions, while one change spreads from VM 0.
/// Times are in units of the freshness limit, and ages don't grow beyond `expired`.
struct InForceModelState
{
    static constexpr std::size_t vmCount = 6;
    static constexpr std::size_t regionCount = 3;
    static constexpr unsigned expired = 2;

    /// Whether the VM has the change.
    std::array<bool, vmCount> hasChange {};
    /// Whether the VM has lost its state and has not started yet.
    std::array<bool, vmCount> isEmpty {};
    /// For each VM, the age of the newest statement of each region that it holds and that lacks the change.
    std::array<std::array<unsigned, regionCount>, vmCount> age {};
    /// Time since the write. A VM without the change last read the store before the write, or at the same time.
    unsigned storeAge { 0 };
    unsigned confirmationAge { 0 }; ///< Time since the last confirmation.
    bool isReported { false }; ///< Whether the change was reported as in force.
    bool hasRestarted { false };

    static std::size_t regionOf(std::size_t vm)
    {
        return vm / 2;
    }
    std::uint64_t packed() const
    {
        std::uint64_t bits =
            (storeAge << 4U) | (confirmationAge << 2U) | (isReported ? 2U : 0U) | (hasRestarted ? 1U : 0U);
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            bits = (bits << 8U) | packedVm(vm);
        }
        return bits;
    }
    std::uint64_t packedVm(std::size_t vm) const
    {
        return (hasChange[vm] ? 128U : 0U) | (isEmpty[vm] ? 64U : 0U) | (age[vm][0] << 4U) | (age[vm][1] << 2U)
            | age[vm][2];
    }
    void swapWithinRegion(std::size_t region)
    {
        std::swap(hasChange[region * 2], hasChange[region * 2 + 1]);
        std::swap(isEmpty[region * 2], isEmpty[region * 2 + 1]);
        std::swap(age[region * 2], age[region * 2 + 1]);
    }
};

enum class Exchange {
    StepByStep, ///< Each pull of statements from one peer is a separate step.
    /// All pulls happen after each step. A pull only replaces statements by younger ones, which can only make more VMs
    /// fresh. So every violation that some order of pulls reaches is found too, in far fewer states.
    Eager,
};

/// Explores all states of three regions with two VMs each while one change spreads and some VMs can't reach the store.
/// Searches for a violation: a VM that may serve by the old version after the change was reported as in force.
class InForceModel
{
public:
    using State = InForceModelState;

    InForceModel(std::array<bool, State::vmCount> isCut, DroppedRule dropped, Exchange exchange, bool allowsRestart)
        : m_isCut(isCut), m_dropped(dropped), m_exchange(exchange), m_allowsRestart(allowsRestart)
    {
    }

    /// Returns a state that violates the invariant, if one is reachable in at most `depth` steps.
    std::optional<State> findViolation(int depth)
    {
        State first;
        first.hasChange[0] = true;
        m_seen.clear();
        m_states.clear();
        std::vector<State> frontier;
        add(first, frontier);
        for (int step = 0; step < depth && !frontier.empty() && !m_violation; ++step) {
            std::vector<State> next;
            for (const State &state : frontier) {
                expand(state, next);
            }
            frontier = std::move(next);
        }
        return m_violation;
    }

    const std::vector<State> &states() const
    {
        return m_states;
    }

    bool isFresh(const State &state, std::size_t vm) const
    {
        const bool countsContact = m_dropped != DroppedRule::ReadBeforeContact || !m_isCut[vm];
        const bool canHaveContact = !(state.hasRestarted && m_isCut[vm]);
        if (!state.isEmpty[vm] && canHaveContact && countsContact && state.storeAge < State::expired) {
            return true;
        }
        const bool countsSelf = !state.isEmpty[vm] || m_dropped == DroppedRule::StartMajority;
        return coveredRegions(state, vm, countsSelf) >= 2;
    }

    bool isInForce(const State &state) const
    {
        if (m_dropped != DroppedRule::Span && unconfirmedRegionCount(state) >= 2) {
            return false;
        }
        switch (m_dropped) {
        case DroppedRule::Wait:
            return true;
        case DroppedRule::WaitFromConfirmation:
            return state.storeAge >= State::expired;
        default:
            return state.confirmationAge >= State::expired;
        }
    }

private:
    static std::size_t unconfirmedRegionCount(const State &state)
    {
        std::size_t count = 0;
        for (std::size_t region = 0; region < State::regionCount; ++region) {
            count += state.hasChange[region * 2] && state.hasChange[region * 2 + 1] ? 0U : 1U;
        }
        return count;
    }

    std::size_t coveredRegions(const State &state, std::size_t vm, bool countsSelf) const
    {
        std::size_t count = 0;
        for (std::size_t region = 0; region < State::regionCount; ++region) {
            const bool isOwn = countsSelf && region == State::regionOf(vm);
            const bool isStated = state.age[vm][region] < State::expired || m_dropped == DroppedRule::FreshnessLimit;
            count += isOwn || isStated ? 1U : 0U;
        }
        return count;
    }

    void expand(const State &state, std::vector<State> &next)
    {
        add(tick(state), next);
        for (std::size_t vm = 0; vm < State::vmCount; ++vm) {
            confirm(state, vm, next);
            contact(state, vm, next);
            restart(state, vm, next);
            for (std::size_t peer = 0; m_exchange == Exchange::StepByStep && peer < State::vmCount; ++peer) {
                pull(state, vm, peer, next);
            }
        }
    }

    static State tick(State state)
    {
        const auto grow = [](unsigned &age) {
            age = std::min(age + 1, State::expired);
        };
        grow(state.storeAge);
        grow(state.confirmationAge);
        for (auto &ages : state.age) {
            for (unsigned &age : ages) {
                grow(age);
            }
        }
        return state;
    }

    /// The VM gets the change from the store, or from a peer that has it.
    void confirm(State state, std::size_t vm, std::vector<State> &next)
    {
        bool canLearn = !m_isCut[vm];
        for (const bool hasChange : state.hasChange) {
            canLearn = canLearn || hasChange;
        }
        if (state.hasChange[vm] || !canLearn) {
            return;
        }
        state.hasChange[vm] = true;
        state.isEmpty[vm] = false;
        state.confirmationAge = 0;
        add(state, next);
    }

    void contact(State state, std::size_t vm, std::vector<State> &next)
    {
        if (m_dropped == DroppedRule::ReadBeforeContact && !m_isCut[vm] && !state.hasChange[vm]) {
            state.storeAge = 0;
            add(state, next);
        }
    }

    /// The process restarts without state. Happens at most once, to a VM that can't reach the store.
    void restart(State state, std::size_t vm, std::vector<State> &next)
    {
        if (!m_allowsRestart || state.hasRestarted || !m_isCut[vm] || state.storeAge < State::expired) {
            return;
        }
        state.hasRestarted = true;
        state.hasChange[vm] = false;
        state.isEmpty[vm] = true;
        state.age[vm].fill(State::expired);
        add(state, next);
    }

    /// The VM receives the peer's own statement and those that the peer holds, but no log entries.
    void pull(State state, std::size_t vm, std::size_t peer, std::vector<State> &next)
    {
        if (vm != peer) {
            take(state, vm, peer);
            add(state, next);
        }
    }

    void pullAll(State &state) const
    {
        std::uint64_t before = 0;
        do {
            before = state.packed();
            for (std::size_t pair = 0; pair < State::vmCount * State::vmCount; ++pair) {
                take(state, pair / State::vmCount, pair % State::vmCount);
            }
            start(state);
        } while (state.packed() != before);
    }

    /// Starts the VMs without state that hold statements from a majority of the regions.
    void start(State &state) const
    {
        for (std::size_t vm = 0; vm < State::vmCount; ++vm) {
            if (state.isEmpty[vm] && coveredRegions(state, vm, false) >= 2) {
                state.isEmpty[vm] = false;
            }
        }
    }

    void take(State &state, std::size_t vm, std::size_t peer) const
    {
        if (vm == peer) {
            return;
        }
        const bool isOldVersion = !state.hasChange[peer] || m_dropped == DroppedRule::NewerStatements;
        const bool isAccepted = !state.isEmpty[peer] || m_dropped == DroppedRule::StartSilence;
        if (isOldVersion && isAccepted) {
            state.age[vm][State::regionOf(peer)] = 0;
        }
        for (std::size_t region = 0; region < State::regionCount; ++region) {
            unsigned relayed = state.age[peer][region];
            if (m_dropped == DroppedRule::RelayedAge && relayed < State::expired) {
                relayed = 0;
            }
            state.age[vm][region] = std::min(state.age[vm][region], relayed);
        }
    }

    void add(State state, std::vector<State> &next)
    {
        start(state);
        if (m_exchange == Exchange::Eager) {
            pullAll(state);
        }
        state.isReported = state.isReported || isInForce(state);
        sortWithinRegions(state);
        if (!m_seen.insert(state.packed()).second) {
            return;
        }
        m_states.push_back(state);
        next.push_back(state);
        for (std::size_t vm = 0; vm < State::vmCount; ++vm) {
            if (state.isReported && !state.hasChange[vm] && isFresh(state, vm)) {
                m_violation = state;
            }
        }
    }

    /// Sorts the VMs of each region, as a symmetry reduction: they are interchangeable if both or neither can reach the
    /// store.
    void sortWithinRegions(State &state) const
    {
        for (std::size_t region = 0; region < State::regionCount; ++region) {
            if (m_isCut[region * 2] != m_isCut[region * 2 + 1]) {
                continue;
            }
            if (state.packedVm(region * 2) > state.packedVm(region * 2 + 1)) {
                state.swapWithinRegion(region);
            }
        }
    }

    std::array<bool, State::vmCount> m_isCut;
    DroppedRule m_dropped;
    Exchange m_exchange;
    bool m_allowsRestart;
    std::unordered_set<std::uint64_t> m_seen;
    std::vector<State> m_states;
    std::optional<State> m_violation;
};

} // namespace Sapphire
