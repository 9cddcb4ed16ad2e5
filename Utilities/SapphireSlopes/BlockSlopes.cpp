#include <SapphireSlopes/BlockSlopes.h>

#include <LibConfiguration/ApplyCommand.h>
#include <LibConfiguration/ConfigurationCodec.h>
#include <LibCore/RandomSource.h>
#include <LibSteering/ClientBlocks.h>
#include <SapphireSlopes/Meter.h>
#include <SapphireSlopes/RequiredSize.h>

#include <memory>

namespace Sapphire {

namespace {

constexpr std::size_t sizes[] { 10'000, 40'000, 80'000, 160'000 };
constexpr std::uint64_t seed = 20261204;
constexpr int changes = 100;
constexpr int longRepetitions = 5;
constexpr int lookUps = 200'000;
constexpr std::uint32_t firstPrefix = 11U << 24U;
constexpr unsigned prefixShift = 8;
constexpr int prefixBits = 24;

RegionId regionOf(std::size_t block)
{
    return RegionId("region-" + std::to_string(block % RequiredSize::regions));
}

std::string prefixText(std::size_t block)
{
    const std::uint32_t address = firstPrefix + (static_cast<std::uint32_t>(block) << prefixShift);
    return std::to_string(address >> 24U) + "." + std::to_string(address >> 16U & 255U) + "."
        + std::to_string(address >> 8U & 255U) + ".0/" + std::to_string(prefixBits);
}

Configuration configurationWith(std::size_t blocks)
{
    Configuration configuration;
    configuration.version = ConfigurationVersion(1);
    const LastChange lastChange { ConfigurationVersion(1), OperatorId("ana") };
    for (std::size_t i = 0; i < RequiredSize::regions; ++i) {
        configuration.regions[regionOf(i)] = { regionOf(i), {}, lastChange };
    }
    ServiceRecord service;
    service.id = ServiceId("booking");
    service.lastChange = lastChange;
    configuration.services[service.id] = service;
    for (std::size_t i = 0; i < RequiredSize::targetCount; ++i) {
        TargetRecord target;
        target.id = TargetId("target-" + std::to_string(i));
        target.service = ServiceId("booking");
        target.locality = { regionOf(i), AvailabilityZoneId("zone-" + std::to_string(i)) };
        target.address = "127.0.0.1:9000";
        target.lastChange = lastChange;
        configuration.targets[target.id] = target;
    }
    std::vector<std::pair<std::string, ClientBlockRecord>> records;
    for (std::size_t i = 0; i < blocks; ++i) {
        records.emplace_back(prefixText(i), ClientBlockRecord { prefixText(i), regionOf(i), lastChange });
    }
    configuration.clientBlocks = CopyOnWriteMap<std::string, ClientBlockRecord>(std::move(records));
    return configuration;
}

std::vector<ClientBlocks::Block> indexedBlocks(std::size_t count)
{
    std::vector<ClientBlocks::Block> blocks;
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint32_t address = firstPrefix + (static_cast<std::uint32_t>(i) << prefixShift);
        blocks.push_back({ { address, prefixBits }, regionOf(i) });
    }
    return blocks;
}

Command changeOf(int number)
{
    return { CommandId("change-" + std::to_string(number)), OperatorId("ana"), std::nullopt, Microseconds(1),
             SetClientBlock { prefixText(static_cast<std::size_t>(number)), RegionId("region-1") } };
}

SlopeDescription described(const std::string &name, const std::string &unit, std::optional<double> ceiling = {})
{
    return { name, unit, "blocks", RequiredSize::clientBlocks, ceiling };
}

/// Collects the measurements of all sizes.
class BlockMeasurement
{
public:
    [[nodiscard]] Result<void> add(std::size_t size)
    {
        m_size = static_cast<double>(size);
        BOOST_LEAF_CHECK(measureIndex(size));
        const double heapBefore = Meter::heapBytes();
        const auto configuration = std::make_unique<Configuration>(configurationWith(size));
        m_memory.add(m_size, (Meter::heapBytes() - heapBefore) / RequiredSize::megabyte);
        BOOST_LEAF_CHECK(measureChanges(*configuration));
        return measureSnapshot(*configuration);
    }

    std::vector<Slope> slopes() const
    {
        return { m_buildTime,  m_indexMemory,  m_findTime,   m_memory,       m_changeTime,
                 m_encodeTime, m_encodeMemory, m_decodeTime, m_decodeMemory, m_snapshotSize };
    }

private:
    static constexpr double microsecondsPerMillisecond = 1'000;

    Result<void> measureIndex(std::size_t size)
    {
        const std::vector<ClientBlocks::Block> blocks = indexedBlocks(size);
        ClientBlocks index;
        const double time = Meter::medianMicroseconds(longRepetitions, [&] {
            index = ClientBlocks(blocks);
        });
        m_buildTime.add(m_size, time / microsecondsPerMillisecond);
        m_indexMemory.add(m_size, static_cast<double>(index.memoryBytes()) / RequiredSize::megabyte);
        RandomSource random(seed);
        std::size_t found = 0;
        m_findTime.add(m_size, Meter::meanMicroseconds(lookUps, [&] {
                           const auto offset = static_cast<std::uint32_t>(random.below(size << prefixShift));
                           found += index.regionOf(firstPrefix + offset) ? 1 : 0;
                       }));
        if (found != lookUps) {
            return fail(ErrorCode::Internal, "the index doesn't find every block");
        }
        return {};
    }

    Result<void> measureChanges(const Configuration &configuration)
    {
        Configuration changed = configuration;
        int number = 0;
        bool isApplied = true;
        m_changeTime.add(m_size, Meter::medianMicroseconds(changes, [&] {
                             const Command command = changeOf(number++);
                             auto next = capture([&] {
                                 return applyCommand(changed, command, changed.version.next());
                             });
                             isApplied = isApplied && next;
                             if (next) {
                                 changed = std::move(next.value());
                             }
                         }));
        if (!isApplied) {
            return fail(ErrorCode::Internal, "a change of a block was not applied");
        }
        return {};
    }

    Result<void> measureSnapshot(const Configuration &configuration)
    {
        std::string text;
        double residentBefore = Meter::resetPeak();
        const double encodeTime = Meter::medianMicroseconds(1, [&] {
            text = ConfigurationCodec::encode(configuration);
        });
        m_encodeTime.add(m_size, encodeTime / microsecondsPerMillisecond);
        m_encodeMemory.add(m_size, (Meter::peakBytes() - residentBefore) / RequiredSize::megabyte);
        m_snapshotSize.add(m_size, static_cast<double>(text.size()) / RequiredSize::megabyte);
        residentBefore = Meter::resetPeak();
        std::optional<Outcome<Configuration>> decoded;
        const double decodeTime = Meter::medianMicroseconds(1, [&] {
            decoded = capture([&] {
                return ConfigurationCodec::decode(text);
            });
        });
        m_decodeTime.add(m_size, decodeTime / microsecondsPerMillisecond);
        m_decodeMemory.add(m_size, (Meter::peakBytes() - residentBefore) / RequiredSize::megabyte);
        if (!*decoded) {
            return fail(decoded->error());
        }
        return {};
    }

    double m_size { 0 };
    Slope m_buildTime { described("build the index", "ms") };
    Slope m_indexMemory { described("index", "MB", RequiredSize::controlMegabytes) };
    Slope m_findTime { described("find a region in the index", "us", RequiredSize::lookUpMicroseconds) };
    Slope m_memory { described("configuration in memory", "MB", RequiredSize::controlMegabytes) };
    Slope m_changeTime { described("apply a change of a block", "us") };
    Slope m_encodeTime { described("encode a snapshot", "ms") };
    Slope m_encodeMemory { described("peak memory while a snapshot is encoded", "MB", RequiredSize::controlMegabytes) };
    Slope m_decodeTime { described("decode a snapshot", "ms") };
    Slope m_decodeMemory { described("peak memory while a snapshot is decoded", "MB", RequiredSize::controlMegabytes) };
    Slope m_snapshotSize { described("snapshot", "MB") };
};

} // namespace

Result<std::vector<Slope>> BlockSlopes::measure()
{
    BlockMeasurement measurement;
    for (const std::size_t size : sizes) {
        BOOST_LEAF_CHECK(measurement.add(size));
    }
    return measurement.slopes();
}

} // namespace Sapphire
