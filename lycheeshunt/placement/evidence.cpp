#include "lycheeshunt/placement/evidence.h"

#include <algorithm>
#include <cmath>

namespace lycheeshunt::placement {

namespace {

constexpr double workWeight = 0.1;
constexpr double reportWeight = 0.2;
constexpr double enoughSamples = 5;
constexpr double maxSamples = 50;
constexpr double failingShare = 0.5;
// Reports are believed from here up, wholly at 1.
constexpr double trustedAgreement = 0.8;
constexpr base::clock_time sampleHalfLife = base::clock_time::ofSeconds(5);
constexpr base::clock_time reportLife = base::clock_time::ofSeconds(5);

double samplesNow(const server_evidence &known, base::clock_time now)
{
    const double age = static_cast<double>((now - known.sampledAt).millis());
    return known.samples * std::exp2(-age / static_cast<double>(sampleHalfLife.millis()));
}

bool hasFreshReport(const server_evidence &known, base::clock_time now)
{
    return known.reportedAt > base::clock_time() && now - known.reportedAt < reportLife;
}

} // namespace

server_evidence afterWork(server_evidence known, admission::work_end how, base::clock_time now)
{
    // Shedding is explicit and is dealt with by admission; it says nothing of failure.
    if (how == admission::work_end::shed)
        return known;
    const double failed = how == admission::work_end::failed ? 1.0 : 0.0;
    const double before = samplesNow(known, now);
    const double weight = std::max(workWeight, 1.0 / (before + 1.0));
    known.failedShare += weight * (failed - known.failedShare);
    known.samples = std::min(maxSamples, before + 1.0);
    known.sampledAt = now;
    return known;
}

server_evidence afterReport(server_evidence known, double reportedLoad, bool reportedHealthy,
                            double ownLoad, base::clock_time now)
{
    const double agreed = 1.0 - std::min(1.0, std::abs(reportedLoad - ownLoad));
    known.agreement += reportWeight * (agreed - known.agreement);
    known.reportedLoad = reportedLoad;
    known.reportedHealthy = reportedHealthy;
    known.reportedAt = now;
    return known;
}

bool isFailing(const server_evidence &known, base::clock_time now)
{
    if (samplesNow(known, now) >= enoughSamples)
        return known.failedShare > failingShare;
    return hasFreshReport(known, now) && !known.reportedHealthy;
}

std::uint32_t hintedBusy(const server_evidence &known, const admission::slot_counts &own,
                         base::clock_time now)
{
    if (!hasFreshReport(known, now) || known.agreement < trustedAgreement || own.allowed == 0)
        return 0;
    const double allowed = own.allowed;
    const double extra = known.reportedLoad - static_cast<double>(own.busy) / allowed;
    return static_cast<std::uint32_t>(std::lround(std::clamp(extra, 0.0, 1.0) * allowed));
}

} // namespace lycheeshunt::placement
