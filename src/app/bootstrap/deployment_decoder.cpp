#include "app/bootstrap/deployment_decoder.h"

namespace myrtlehead::bootstrap {

namespace {

constexpr long kMaxInstances = 1'000'000;
constexpr long kMaxVotes = 1'000'000;
constexpr long kMaxStages = 1000;
constexpr long kMaxZoneIndex = 65535;
constexpr long kMaxRoutes = 256;
constexpr long kMaxTenants = 65536;
constexpr long kMaxAttempts = 255;

// A keyword in the settings and the enumerator that it stands for.
template <class Enum> struct Keyword {
  std::string_view keyword;
  Enum value;
};

// The first keyword of each table is the default if the settings have no value.
constexpr Keyword<Idempotency> kIdempotencyKeywords[] = {{"single_shot", Idempotency::notIdempotent},
                                                         {"guarded", Idempotency::idempotentWithKey},
                                                         {"free", Idempotency::idempotent}};
constexpr Keyword<IdempotencyScope> kIdempotencyScopeKeywords[] = {
    {"all", IdempotencyScope::anywhere}, {"zone", IdempotencyScope::zone}, {"cell", IdempotencyScope::cell}};
constexpr Keyword<RolloutControl> kRolloutControlKeywords[] = {{"first_voice", RolloutControl::anyVote},
                                                               {"by_count", RolloutControl::quorum},
                                                               {"automatic", RolloutControl::timer}};

template <class Enum, std::size_t size>
Enum readKeyword(const ConfigPaths &in, const std::string &path, const Keyword<Enum> (&keywords)[size]) {
  const auto text = in.text(path, keywords[0].keyword);
  for (const auto &entry : keywords)
    if (entry.keyword == text) return entry.value;
  throw ConfigError("settings: " + path + " has an unknown value: '" + std::string(text) + "'");
}

Route readRoute(const ConfigPaths &in, const std::string &prefix) {
  Route route;
  route.latencyObjective = in.microseconds(prefix + "onTimeUs", kSecond);
  route.idempotencyWindow = in.microseconds(prefix + "repeatWindowUs", 0);
  route.priorityWeight = in.number(prefix + "worth", 1);
  route.idempotency = readKeyword(in, prefix + "effect", kIdempotencyKeywords);
  route.idempotencyScope = readKeyword(in, prefix + "group", kIdempotencyScopeKeywords);
  return route;
}

RolloutSettings readRollout(const ConfigPaths &in) {
  RolloutSettings rollout;
  rollout.control = readKeyword(in, "familyInfo.control", kRolloutControlKeywords);
  rollout.stageCaps = in.numbers("familyInfo.caps");
  rollout.burstAttempts = in.number("familyInfo.free", 0);
  rollout.capPerRoute = in.text("familyInfo.capScope", "all") == "each_class";
  rollout.stickyKeys = in.boolean("familyInfo.noReturn");
  rollout.keepsBaselineUntilRelease = in.text("familyInfo.swap", "replace") == "parallel";
  rollout.idempotentOnlyStages = static_cast<int>(in.integer("familyInfo.guardedStages", 0, 0, kMaxStages));
  rollout.wrongAnswerReportShare = in.number("familyInfo.foundShare", 0);
  rollout.votesToPromote = static_cast<int>(in.integer("familyInfo.votesToGo", 0, 0, kMaxVotes));
  rollout.votesToRollBack = static_cast<int>(in.integer("familyInfo.noesNeeded", 1, 0, kMaxVotes));
  rollout.votesToHold = static_cast<int>(in.integer("familyInfo.stoppers", 0, 0, kMaxVotes));
  rollout.voteLifetime = in.microseconds("familyInfo.voteStandsUs", 4 * kSecond);
  rollout.votesPerSecond = in.number("familyInfo.voteAllowance", 1);
  return rollout;
}

LoadReportField loadReportFieldOf(std::string_view name) {
  if (name == "active") return LoadReportField::inFlight;
  if (name == "waiting") return LoadReportField::queued;
  return name == "cpu" ? LoadReportField::cpu : LoadReportField::other;
}

void readInstanceIndex(const ConfigPaths &in, Deployment &out) {
  out.ownIndex = static_cast<int>(in.integer("me", 0, 0, kMaxInstances));
  out.instanceCount = static_cast<int>(in.integer("peersTotal", 1, 1, kMaxInstances));
  if (out.ownIndex >= out.instanceCount)
    throw ConfigError("settings: me is " + std::to_string(out.ownIndex) +
                      ", but peersTotal, the number of instances, is " + std::to_string(out.instanceCount) +
                      "; expected an index from 0 to peersTotal - 1");
}

} // namespace

Deployment readDeployment(const ConfigPaths &in) {
  Deployment out;
  readInstanceIndex(in, out);
  out.zone = static_cast<int>(in.integer("locality", 0, 0, kMaxZoneIndex));
  const auto routeCount = in.integer("services.count", 0, 0, kMaxRoutes);
  for (long i = 0; i < routeCount; ++i)
    out.routes.push_back(readRoute(in, "services." + std::to_string(i) + "."));
  for (const auto &name : in.strings("telemetry.fields"))
    out.loadReportFields.push_back(loadReportFieldOf(name));
  const auto tenantCount = in.integer("parties.count", 0, 0, kMaxTenants);
  for (long i = 0; i < tenantCount; ++i)
    out.tenantQuotas.push_back(in.number("parties." + std::to_string(i) + ".quotaRps", 0));
  out.overQuotaWeight = in.number("overShareWorth", 1);
  out.rollout = readRollout(in);
  out.tickInterval = in.microseconds("resolutionUs", kMillisecond);
  out.warmupTime = in.microseconds("contract.coldUs", 0);
  out.coldBudgetWindow = in.microseconds("contract.tipAfterUs", kSecond);
  out.pollInterval = in.microseconds("contract.askEveryUs", 0);
  out.maxRetryAfter = in.microseconds("limits.maxRetryAfterUs", 0);
  out.warmupStartFraction = in.number("contract.coldFrom", 1);
  out.coldBudgetMultiple = in.number("contract.fallMultiple", 1);
  out.crossZoneCost = in.number("prices.crossZone", 0);
  out.maxAttempts = static_cast<int>(in.integer("limits.mostTries", 1, 1, kMaxAttempts));
  out.pollsEndpointList = in.text("registryMode", "push") == "ask";
  out.hasPeers = in.boolean("limits.peers");
  out.sendsRetryAfter = in.boolean("limits.retryAfter");
  return out;
}

} // namespace myrtlehead::bootstrap
