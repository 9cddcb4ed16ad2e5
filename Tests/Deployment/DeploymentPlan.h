#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <string>
#include <vector>

namespace Sapphire {

struct PlannedZone
{
    std::string name;
    int vms { 0 };
};

struct PlannedRegion
{
    std::string name;
    std::vector<std::string> fallbacks;
    std::vector<PlannedZone> zones;
};

struct PlannedService
{
    std::string name;
    bool isOpenToAll { false };
    int targetsPerZone { 1 };
    int slots { 1 };
    int connections { 800 };
    Microseconds serviceTime { 0 };
};

struct PlannedCustomer
{
    std::string name;
    double ratePerSecond { 0 };
    double burst { 0 };
};

/// Round-trip times and bandwidth of the network between the parts of a deployment.
struct PlannedNetwork
{
    Microseconds client {}; ///< Between callers and VMs.
    Microseconds zone {}; ///< Between availability zones of a region.
    Microseconds region {}; ///< Between regions.
    std::int64_t regionMegabitsPerSecond { 0 };
};

/// The layout of a deployment, read from one of the files under Settings/.
struct DeploymentPlan
{
    std::string name;
    std::vector<PlannedRegion> regions;
    std::string storeRegion;
    PlannedNetwork network;
    std::vector<PlannedService> services;
    std::vector<PlannedCustomer> customers;

    /// Fails with NotFound if the file can't be read, and InvalidArgument with all errors that were found.
    [[nodiscard]] static Result<DeploymentPlan> load(const std::string &file);
};

} // namespace Sapphire
