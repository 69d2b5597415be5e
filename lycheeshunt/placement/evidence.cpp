#include "lycheeshunt/placement/evidence.h"

#include <algorithm>
#include <cmath>

namespace lycheeshunt::placement {

namespace {

constexpr double workWeight = 0.1;
constexpr double reportWeight = 0.2;
constexpr double minSamples = 5;
constexpr double maxSamples = 50;
constexpr double failingShare = 0.5;
// Least mean agreement from which reports are used; 1 is complete agreement.
constexpr double trustedAgreement = 0.8;
constexpr base::clock_time sampleHalfLife = base::clock_time::ofSeconds(5);
constexpr base::clock_time reportLifetime = base::clock_time::ofSeconds(5);

double samplesNow(const server_evidence &evidence, base::clock_time now)
{
    const double age = static_cast<double>((now - evidence.sampledAt).millis());
    return evidence.samples * std::exp2(-age / static_cast<double>(sampleHalfLife.millis()));
}

bool hasFreshReport(const server_evidence &evidence, base::clock_time now)
{
    return evidence.reportedAt > base::clock_time() && now - evidence.reportedAt < reportLifetime;
}

} // namespace

server_evidence afterWork(server_evidence evidence, admission::work_outcome outcome,
                          base::clock_time now)
{
    // Shedding is an explicit reply that admission handles; it does not indicate a failure.
    if (outcome == admission::work_outcome::shed)
        return evidence;
    const double failed = outcome == admission::work_outcome::failed ? 1.0 : 0.0;
    const double previousSamples = samplesNow(evidence, now);
    const double weight = std::max(workWeight, 1.0 / (previousSamples + 1.0));
    evidence.failedShare += weight * (failed - evidence.failedShare);
    evidence.samples = std::min(maxSamples, previousSamples + 1.0);
    evidence.sampledAt = now;
    return evidence;
}

server_evidence afterReport(server_evidence evidence, double reportedLoad, bool reportedHealthy,
                            double ownLoad, base::clock_time now)
{
    const double agreed = 1.0 - std::min(1.0, std::abs(reportedLoad - ownLoad));
    evidence.agreement += reportWeight * (agreed - evidence.agreement);
    evidence.reportedLoad = reportedLoad;
    evidence.reportedHealthy = reportedHealthy;
    evidence.reportedAt = now;
    return evidence;
}

bool isFailing(const server_evidence &evidence, base::clock_time now)
{
    if (samplesNow(evidence, now) >= minSamples)
        return evidence.failedShare > failingShare;
    return hasFreshReport(evidence, now) && !evidence.reportedHealthy;
}

std::uint32_t hintedBusy(const server_evidence &evidence, const admission::slot_counts &own,
                         base::clock_time now)
{
    if (!hasFreshReport(evidence, now) || evidence.agreement < trustedAgreement || own.allowed == 0)
        return 0;
    const double allowed = own.allowed;
    const double extra = evidence.reportedLoad - static_cast<double>(own.busy) / allowed;
    return static_cast<std::uint32_t>(std::lround(std::clamp(extra, 0.0, 1.0) * allowed));
}

} // namespace lycheeshunt::placement
