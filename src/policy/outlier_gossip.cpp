#include "policy/outlier_gossip.h"

#include <algorithm>
#include <cmath>

namespace myrtlehead {

namespace {

constexpr Nanoseconds kMessageInterval = kSecond;
// Spreads the messages of instances that started at the same time; factors on kMessageInterval.
constexpr double kMinIntervalJitter = 0.8;
constexpr double kMaxIntervalJitter = 1.2;
constexpr std::size_t kPeersPerMessage = 20;

constexpr double kReportHalfLifeNanoseconds = 3e9;
constexpr double kMinFailuresToSuspect = 3;
constexpr double kMinFailureShareToSuspect = 0.6; // share of all reported outcomes

constexpr Nanoseconds kBaseSuspectTime = 2 * kSecond; // doubles with each suspicion
constexpr Nanoseconds kMaxSuspectTime = 8 * kSecond;
constexpr int kMaxSuspectTimeDoublings = 10; // keeps the shift defined; kMaxSuspectTime is reached earlier
// Makes instances that receive the same messages return to the endpoint at different times.
constexpr double kMinSuspectTimeJitter = 0.7;
constexpr double kMaxSuspectTimeJitter = 1.3;

constexpr std::size_t kMaxTrackedEndpoints = 4096;
constexpr Nanoseconds kReportLifetime = 4 * kMaxSuspectTime; // after the last report

constexpr std::size_t kHeaderSize = 3;      // bytes
constexpr std::size_t kObservationSize = 5; // bytes
constexpr std::uint8_t kMaxCount = 255;

std::uint8_t saturatingIncrement(std::uint8_t count) {
  return count < kMaxCount ? static_cast<std::uint8_t>(count + 1) : count;
}

int failures(const EndpointObservations &observations) {
  return observations.failed + observations.lostConnections;
}

std::uint8_t highByte(std::uint16_t value) { return static_cast<std::uint8_t>(value >> 8); }
std::uint8_t lowByte(std::uint16_t value) { return static_cast<std::uint8_t>(value); }
std::uint16_t readUint16(const std::uint8_t *bytes) {
  return static_cast<std::uint16_t>(bytes[0] << 8 | bytes[1]);
}

} // namespace

std::vector<std::uint8_t> encodeGossip(const GossipMessage &message) {
  std::vector<std::uint8_t> out{kGossipVersion, highByte(message.senderZone), lowByte(message.senderZone)};
  for (const auto &each : message.observations)
    out.insert(out.end(), {highByte(each.fingerprint), lowByte(each.fingerprint), each.failed,
                           each.lostConnections, each.succeeded});
  return out;
}

std::optional<GossipMessage> decodeGossip(const std::uint8_t *bytes, std::size_t size) {
  if (size <= kHeaderSize || bytes[0] != kGossipVersion) return std::nullopt;
  const std::size_t contentSize = size - kHeaderSize;
  if (contentSize % kObservationSize != 0) return std::nullopt;
  if (contentSize / kObservationSize > kMaxObservationsPerMessage) return std::nullopt;
  GossipMessage out{readUint16(bytes + 1), {}};
  for (std::size_t at = kHeaderSize; at < size; at += kObservationSize) {
    const EndpointObservations each{readUint16(bytes + at), bytes[at + 2], bytes[at + 3], bytes[at + 4]};
    // Instances send only observations that name an endpoint and hold a failure.
    if (each.fingerprint == 0 || failures(each) == 0) return std::nullopt;
    out.observations.push_back(each);
  }
  return out;
}

void OutlierGossip::onOutcome(EndpointFingerprint fingerprint, Outcome outcome) {
  const bool isConnectionLost = outcome == Outcome::unreachable || outcome == Outcome::reset ||
                                outcome == Outcome::timedOut;
  const bool isFailure = outcome == Outcome::failed;
  const bool isSuccess = outcome == Outcome::succeeded;
  if (fingerprint == 0 || !(isConnectionLost || isFailure || isSuccess)) return;
  auto &observations = observations_[fingerprint];
  observations.fingerprint = fingerprint;
  if (isFailure) observations.failed = saturatingIncrement(observations.failed);
  if (isConnectionLost) observations.lostConnections = saturatingIncrement(observations.lostConnections);
  if (isSuccess) {
    observations.succeeded = saturatingIncrement(observations.succeeded);
    reports_.erase(fingerprint); // an own success outweighs the reports of peers
  }
}

// Returns the observations of failed endpoints, most failures first, as many as a message holds. Discards all
// other observations.
std::vector<EndpointObservations> OutlierGossip::takeWorstObservations() {
  std::vector<EndpointObservations> out;
  for (const auto &[fingerprint, observations] : observations_)
    if (failures(observations) > 0) out.push_back(observations);
  observations_.clear();
  std::stable_sort(out.begin(), out.end(),
                   [](const auto &a, const auto &b) { return failures(a) > failures(b); });
  out.resize(std::min(out.size(), kMaxObservationsPerMessage));
  return out;
}

std::vector<int> OutlierGossip::drawPeers(RandomEngine &random) const {
  std::vector<int> peers;
  for (int i = 0; i < instanceCount_; ++i)
    if (i != ownIndex_) peers.push_back(i);
  const auto count = std::min(peers.size(), kPeersPerMessage);
  for (std::size_t i = 0; i < count; ++i) {
    std::uniform_int_distribution<std::size_t> remaining(i, peers.size() - 1);
    std::swap(peers[i], peers[remaining(random)]);
  }
  peers.resize(count);
  return peers;
}

std::vector<PeerMessage> OutlierGossip::takeDueMessages(Nanoseconds now, RandomEngine &random) {
  if (now < nextMessageAt_) return {};
  std::uniform_real_distribution<double> jitter(kMinIntervalJitter, kMaxIntervalJitter);
  nextMessageAt_ = now + static_cast<Nanoseconds>(jitter(random) * kMessageInterval);
  const GossipMessage message{static_cast<std::uint16_t>(zone_), takeWorstObservations()};
  const bool hasPeers = instanceCount_ > 1;
  if (message.observations.empty() || !hasPeers) return {};
  const auto bytes = encodeGossip(message);
  std::vector<PeerMessage> out;
  for (const int peer : drawPeers(random)) out.push_back({peer, bytes});
  return out;
}

void OutlierGossip::decay(PeerReports &reports, Nanoseconds now) {
  const double kept = std::exp2(-static_cast<double>(now - reports.updatedAt) / kReportHalfLifeNanoseconds);
  reports.failed *= kept;
  reports.lostConnections *= kept;
  reports.succeeded *= kept;
  reports.updatedAt = now;
}

// Bounds the memory that peers can use up by reporting endpoints that do not exist.
bool OutlierGossip::mayTrack(EndpointFingerprint fingerprint) const {
  return reports_.size() < kMaxTrackedEndpoints || reports_.contains(fingerprint);
}

// Network paths between zones differ, so lost connections count only if a peer in this instance's zone
// reports them.
void OutlierGossip::addReport(PeerReports &reports, int from, const EndpointObservations &observations,
                              bool isSameZone) const {
  const double lostConnections = isSameZone ? observations.lostConnections : 0;
  reports.failed += observations.failed;
  reports.lostConnections += lostConnections;
  reports.succeeded += observations.succeeded;
  const bool reportsFailure = observations.failed + lostConnections > 0;
  if (!reportsFailure) return;
  if (reports.latestFailureReporter >= 0 && reports.latestFailureReporter != from)
    reports.hasSeveralFailureReporters = true;
  reports.latestFailureReporter = from;
}

// At least two peers must report failures, so that a peer whose own network is broken makes no endpoint
// suspect.
bool OutlierGossip::isOutlier(const PeerReports &reports) {
  const double failures = reports.failed + reports.lostConnections;
  return reports.hasSeveralFailureReporters && failures >= kMinFailuresToSuspect &&
         failures >= kMinFailureShareToSuspect * (failures + reports.succeeded);
}

void OutlierGossip::markAsSuspect(PeerReports &reports, Nanoseconds now, RandomEngine &random) {
  const int doublings = std::min(reports.suspicions, kMaxSuspectTimeDoublings);
  ++reports.suspicions;
  const auto suspectTime = static_cast<double>(std::min(kBaseSuspectTime << doublings, kMaxSuspectTime));
  std::uniform_real_distribution<double> jitter(kMinSuspectTimeJitter, kMaxSuspectTimeJitter);
  reports.suspectUntil = now + static_cast<Nanoseconds>(jitter(random) * suspectTime);
  // A further suspicion needs new reports.
  reports.failed = 0;
  reports.lostConnections = 0;
  reports.succeeded = 0;
}

// Detects endpoints that fail or have disappeared although each instance alone sends them too few attempts to
// detect it. Limitation: an endpoint that fails only for some instances is suspected by all of
// them; a success of an instance's own attempt ends its suspicion.
void OutlierGossip::onGossip(int from, const GossipMessage &message, Nanoseconds now, RandomEngine &random) {
  if (from < 0 || from >= instanceCount_ || from == ownIndex_) return;
  const bool isSameZone = message.senderZone == zone_;
  for (const auto &observations : message.observations) {
    if (!mayTrack(observations.fingerprint)) continue;
    auto &reports = reports_[observations.fingerprint];
    decay(reports, now);
    addReport(reports, from, observations, isSameZone);
    const bool isSuspect = reports.suspectUntil > now;
    if (!isSuspect && isOutlier(reports)) markAsSuspect(reports, now, random);
  }
  forgetStaleReports(now);
}

void OutlierGossip::forgetStaleReports(Nanoseconds now) {
  std::erase_if(reports_, [now](const auto &entry) {
    const auto &reports = entry.second;
    return now - reports.updatedAt > kReportLifetime && reports.suspectUntil < now;
  });
}

Nanoseconds OutlierGossip::suspectUntil(EndpointFingerprint fingerprint) const {
  const auto it = reports_.find(fingerprint);
  return it == reports_.end() ? 0 : it->second.suspectUntil;
}

void OutlierGossip::onEndpointReplaced(EndpointFingerprint fingerprint) {
  observations_.erase(fingerprint);
  reports_.erase(fingerprint);
}

} // namespace myrtlehead
