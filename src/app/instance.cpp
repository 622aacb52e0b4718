#include "app/instance.h"

#include "app/memory_watch.h"
#include "app/signals.h"

#include <algorithm>
#include <ctime>
#include <sys/resource.h>
#include <unistd.h>

namespace myrtlehead::app {

namespace {

// File descriptors kept out of the budget, for the standard streams, epoll and files that libraries open.
constexpr int kReservedDescriptors = 8;
// The upstream and the downstream budget for large messages are each the configured memory divided by this
// number. In total, a large response takes less than three times its size and a large request less than four
// times.
constexpr std::size_t kLargeMessageMemoryDivisor = 8;
// Offsets added to the configured seed, so that each component draws independent random numbers.
constexpr std::uint64_t kDnsSeedOffset = 2;
constexpr std::uint64_t kClusterSeedOffset = 5;

// Returns the Unix time, in ns, at which the scheduler's clock read 0. Each component reads it once, so that
// a step of the system clock does not change the start time of an endpoint.
Nanoseconds unixTimeAtClockZero(Nanoseconds now) {
  timespec unixTime{};
  clock_gettime(CLOCK_REALTIME, &unixTime);
  return unixTime.tv_sec * kSecond + unixTime.tv_nsec - now;
}

// Returns the configured number of file descriptors, or the process's limit if the limit is lower.
int descriptorLimit(int configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, static_cast<rlim_t>(configured)));
}

bool hasKnownEndpoints(const bootstrap::BootstrapConfig &config) {
  return config.knownEndpoints.kind != json::Value::null;
}

} // namespace

DnsComponents::DnsComponents(sched::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
                             const bootstrap::BootstrapConfig &config, const settings::Settings &settings,
                             log::Log log)
    : metrics(registry), merge(settings.dns.merge, settings.dns.resolution.staleTime, config.deployment.zone,
                               subsetting::Subset(config.deployment.instanceCount, config.deployment.ownIndex,
                                                  settings.dns.subsetSize)),
      discovery(sched, budget, merge, settings.dns, config.seed + kDnsSeedOffset, std::move(log), metrics) {
  router.setEndpointMerge(merge);
  discovery.onChange = [&router] { router.onEndpointMergeChanged(); };
  if (!settings.stateFolder.empty())
    discovery.openStateFile(settings.stateFolder + "/names", {"names", config.name},
                            unixTimeAtClockZero(sched.now()));
}

Instance::Instance(const ServeOptions &options, const bootstrap::BootstrapConfig &config,
                   const settings::Settings &settings, int signalDescriptor)
    : options_(options), config_(config), settings_(settings),
      logs_(STDERR_FILENO, settings.logForm, settings.logLevels), log_(logs_.forPackage("program")),
      routerLog_(logs_.forPackage("guard")), discoveryLog_(logs_.forPackage("catalog")),
      rolloutLog_(logs_.forPackage("platform")), upstreamLog_(logs_.forPackage("nodes")),
      downstreamLog_(logs_.forPackage("clients")),
      budget_(descriptorLimit(config.maxDescriptors) - kReservedDescriptors),
      router_(sched_, config.deployment, config.seed, routerLog_),
      endpointWatch_(sched_, budget_, router_, discoveryLog_, config.discoveryAddress, config.zoneNames,
                     unixTimeAtClockZero(sched_.now())),
      rolloutClient_(sched_, budget_, router_, rolloutLog_, config.platformAddress, config.routeNames,
                     config.controlCallTimeout),
      connectionPool_(sched_, budget_, upstreamLog_, config.connectTimeout, config.idleTimeout,
                      config.loadReportNames, config.memoryBytes / kLargeMessageMemoryDivisor),
      dns_(settings.dns.srvNames.empty()
               ? nullptr
               : std::make_unique<DnsComponents>(sched_, budget_, router_, config, settings,
                                                 logs_.forPackage("names"))),
      metricsServer_(!settings.metricsAddress ? nullptr
                                              : std::make_unique<admin::MetricsServer>(
                                                    sched_, budget_, dns_ ? dns_->registry : emptyRegistry_,
                                                    *settings.metricsAddress)),
      signals_(sched_, budget_, signalDescriptor),
      peerTransport_(!config.deployment.hasPeers ? nullptr
                                                 : std::make_unique<peers::PeerTransport>(
                                                       sched_, budget_, router_, config.peerListenAddress,
                                                       config.peerAddresses, config.allPeersAddress)) {
  sched_.onUncaughtException = [this](const char *what) {
    log_.error("a task ended with an exception", {{"what", what}});
  };
  applyInitialState();
  clusterMember_ = makeClusterMember();
  listener_.emplace(sched_, budget_, router_, connectionPool_, downstreamLog_, config.listenAddress,
                    config.routeNames, config.routeTimeouts, config.memoryBytes / kLargeMessageMemoryDivisor);
  reloadableComponents_.emplace(ReloadableComponents{options_, config_, settings_, endpointWatch_,
                                                     rolloutClient_, dns_ ? &dns_->discovery : nullptr,
                                                     logs_});
}

// Applies the endpoint list and the rollout state that the configuration contains.
void Instance::applyInitialState() {
  if (hasKnownEndpoints(config_) && !endpointWatch_.applyInitialList(config_.knownEndpoints))
    throw bootstrap::ConfigError("the configuration's 'known' is not a valid endpoint list");
  if (const auto rolloutState = rollout::readRolloutState(config_.rolloutState))
    router_.onRolloutState(*rolloutState);
  else if (config_.rolloutState.kind != json::Value::null)
    throw bootstrap::ConfigError("the configuration's 'platform.news' is not a valid rollout state");
}

std::unique_ptr<cluster::ClusterMember> Instance::makeClusterMember() {
  if (!settings_.cluster) return nullptr;
  cluster::Routes routes{config_.routeNames, {}};
  for (const auto &route : config_.deployment.routes) routes.idempotency.push_back(route.idempotency);
  return std::make_unique<cluster::ClusterMember>(
      sched_, budget_, router_, connectionPool_, *settings_.cluster, std::move(routes), config_.routeTimeouts,
      unixTimeAtClockZero(sched_.now()), config_.seed + kClusterSeedOffset, logs_.forPackage("fleet"));
}

// The order matters: the scheduler starts the tasks in the order in which they are spawned.
void Instance::spawnTasks() {
  sched_.spawn(router_.run());
  sched_.spawn(endpointWatch_.run());
  sched_.spawn(rolloutClient_.keepConnectionOpen());
  sched_.spawn(rolloutClient_.sendVotes());
  sched_.spawn(rolloutClient_.followEventStream());
  sched_.spawn(connectionPool_.sweepIdleConnections());
  if (peerTransport_) {
    sched_.spawn(peerTransport_->send());
    sched_.spawn(peerTransport_->receive());
  }
  if (dns_)
    sched_.spawn(dns_->discovery.run(hasKnownEndpoints(config_) ? dns_discovery::FirstLookups::spread
                                                                : dns_discovery::FirstLookups::immediate));
  if (metricsServer_) {
    log_.info("serving metrics", {{"at", net::formatAddress(metricsServer_->address())}});
    sched_.spawn(metricsServer_->accept());
  }
  if (clusterMember_) clusterMember_->start();
  sched_.spawn(listener_->acceptConnections());
  sched_.spawn(listener_->sweepIdleConnections());
  sched_.spawn(listener_->probeUnreadClients());
  sched_.spawn(watchMemory(sched_, *listener_, config_.memoryBytes, log_));
  sched_.spawn(applyReloads(sched_, *reloadableComponents_, reloadRequest_, log_));
  sched_.spawn(handleSignals(sched_, signals_, *listener_, clusterMember_.get(), reloadRequest_, log_));
}

void Instance::run() {
  spawnTasks();
  log_.info("instance is serving requests", {{"name", config_.name},
                                             {"routes", config_.routeNames.size()},
                                             {"at", net::formatAddress(listener_->address())}});
  sched_.run();
  if (dns_) dns_->discovery.saveAtExit();
  sched_.destroyAllTasks(); // tasks refer to the components, so they are destroyed first
}

} // namespace myrtlehead::app
