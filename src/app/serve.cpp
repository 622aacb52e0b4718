#include "app/serve.h"

#include "admin/metrics_server.h"
#include "app/bootstrap/bootstrap_config.h"
#include "app/settings/settings.h"
#include "base/log/log.h"
#include "cluster/cluster_member.h"
#include "control/discovery/endpoint_watch.h"
#include "control/dns/dns_discovery.h"
#include "control/peers/peer_transport.h"
#include "control/rollout/rollout_client.h"
#include "downstream/listener.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <optional>
#include <prometheus/registry.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace myrtlehead::app {

namespace {

// The Unix time at which the instance's clock read nought; read once, so that a step of the machine's clock
// moves no endpoint's start.
Nanoseconds unixAtZero(Nanoseconds now) {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return t.tv_sec * kSecond + t.tv_nsec - now;
}

int descriptorsAllowed(int told) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return told;
  return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, static_cast<rlim_t>(told)));
}

// Guards against a signal that comes before its reader: from here on it waits for one.
int signalDescriptor() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

// Guards against a file that is read while it is replaced: what can't be decoded is read again for a second.
sched::Task<std::optional<bootstrap::BootstrapConfig>> readAgain(sched::Scheduler &sched,
                                                                 const std::string &path, log::Log &log) {
  std::string why;
  for (int tries = 0; tries < 10; ++tries) {
    if (tries > 0) co_await sched.sleep(kSecond / 10);
    try {
      co_return bootstrap::readStation(bootstrap::readFile(path));
    } catch (const std::exception &e) {
      why = e.what();
    }
  }
  log.error("the new configuration is not taken up", {{"why", why}});
  co_return std::nullopt;
}

// What a running instance takes up: where discovery, the platform and the servers of names are, and log
// levels.
struct Movable {
  const Paths &paths;
  const bootstrap::BootstrapConfig &started;
  const settings::Settings &installed;
  discovery::EndpointWatch &watch;
  rollout::RolloutClient &desk;
  dns_discovery::DnsDiscovery *names; // where names are followed
  log::Logs &logs;
};

// SIGHUP; one that comes while an earlier one is heeded is not forgotten.
struct Wish {
  bool open = false;
  sched::Event made;
};

// The installation's settings, if they are whole.
void takeUpInstallation(const Movable &parts, const bootstrap::BootstrapConfig &station, log::Log &log) {
  if (parts.paths.settings.empty()) return;
  const auto read = settings::readSettings(bootstrap::readFile(parts.paths.settings), station.zones);
  if (!read.faults.empty())
    return log.error("the new settings are not taken up",
                     {{"why", settings::text(parts.paths.settings, read.faults.front())}});
  const auto rest = settings::needsRestart(parts.installed, read.installation);
  if (!rest.empty()) log.warning("needs a restart to take up", {{"fields", rest}});
  if (!parts.paths.logLevels) parts.logs.setLevels(read.installation.levels);
  if (parts.names != nullptr) parts.names->setServers(read.installation.naming.servers);
}

sched::Task<> takeUp(sched::Scheduler &sched, const Movable &parts, Wish &wish, log::Log &log) {
  for (;;) {
    while (!wish.open) co_await sched.wait(wish.made);
    wish.open = false;
    const auto station = co_await readAgain(sched, parts.paths.configuration, log);
    if (!station) continue;
    const auto rest = bootstrap::needsRestart(parts.started, *station);
    if (!rest.empty()) log.warning("needs a restart to take up", {{"fields", rest}});
    parts.watch.moveTo(station->discovery);
    parts.desk.moveTo(station->platform);
    try {
      takeUpInstallation(parts, *station, log);
    } catch (const std::exception &e) {
      log.error("the new settings are not taken up", {{"why", e.what()}});
    }
    log.info("took up the configuration",
             {{"discovery", net::text(station->discovery)}, {"platform", net::text(station->platform)}});
  }
}

sched::Task<> heedSignals(sched::Scheduler &sched, net::Socket &signals, downstream::Listener &door,
                          cluster::ClusterMember *fleet, Wish &wish, log::Log &log) {
  for (;;) {
    signalfd_siginfo info{};
    const auto got = read(signals.fd(), &info, sizeof info);
    if (got != sizeof info) {
      co_await signals.waitReadable({});
    } else if (info.ssi_signo == SIGHUP) {
      wish.open = true;
      wish.made.notify();
    } else {
      break;
    }
  }
  log.info("asked to end: answers what it has taken");
  if (fleet != nullptr)
    co_await fleet->shutdown(); // first: its jobs' attempts need what the door's end may take
  co_await door.close();
  log.info("ended");
  sched.halt();
}

// Name records, where the installation follows any.
struct NamesPart {
  NamesPart(sched::Scheduler &sched, net::DescriptorBudget &budget, Router &router,
            const bootstrap::BootstrapConfig &station, const settings::Settings &installation, log::Log log)
      : counters(registry),
        sources(installation.naming.merge, installation.naming.resolution.staleTime, station.deployment.zone,
                subsetting::Subset(station.deployment.instanceCount, station.deployment.ownIndex,
                                   installation.naming.subset)),
        names(sched, budget, sources, installation.naming, station.seed + 2, std::move(log), counters) {
    router.mergeWith(sources);
    names.onChange = [&router] { router.onMergeChanged(); };
    if (!installation.stateFolder.empty())
      names.openStateFile(installation.stateFolder + "/names", {"names", station.name},
                          unixAtZero(sched.now()));
  }
  prometheus::Registry registry;
  dns_discovery::DnsMetrics counters;
  endpoint_merge::EndpointMerge sources;
  dns_discovery::DnsDiscovery names;
};

settings::Settings readInstallation(const Paths &paths, const bootstrap::BootstrapConfig &station) {
  if (paths.settings.empty()) return {};
  auto read = settings::readSettings(bootstrap::readFile(paths.settings), station.zones);
  if (!read.faults.empty()) throw bootstrap::SetupError(settings::text(paths.settings, read.faults.front()));
  return std::move(read.installation);
}

} // namespace

void serve(const Paths &paths) {
  const int hadSignals = signalDescriptor(); // before the configuration is read, and before any thread begins
  const auto station = bootstrap::readStation(bootstrap::readFile(paths.configuration));
  auto installation = readInstallation(paths, station);
  if (paths.logLevels) installation.levels = *paths.logLevels;
  if (paths.logForm) installation.form = *paths.logForm;
  log::Logs logs(STDERR_FILENO, installation.form, installation.levels);
  log::Log log = logs.forPackage("program"), guardLog = logs.forPackage("guard"),
           catalogLog = logs.forPackage("catalog"), platformLog = logs.forPackage("platform"),
           nodesLog = logs.forPackage("nodes"), clientsLog = logs.forPackage("clients");
  sched::Scheduler sched;
  sched.onUncaughtException = [&](const char *what) {
    log.error("a coroutine ended early", {{"what", what}});
  };
  constexpr int kOwn = 8; // standard streams, epoll, and what the library opens
  net::DescriptorBudget budget(descriptorsAllowed(station.descriptors) - kOwn);
  Router router(sched, station.deployment, station.seed, guardLog);
  discovery::EndpointWatch watch(sched, budget, router, catalogLog, station.discovery, station.zones,
                                 unixAtZero(sched.now()));
  rollout::RolloutClient desk(sched, budget, router, platformLog, station.platform, station.routes,
                              station.callWithin);
  upstream::ConnectionPool pool(
      sched, budget, nodesLog, station.connectWithin, station.idleAtMost, station.loadNames,
      station.memory / 8); // what a large answer takes in all is below three times it
  std::unique_ptr<NamesPart> names;
  if (!installation.naming.sets.empty())
    names = std::make_unique<NamesPart>(sched, budget, router, station, installation,
                                        logs.forPackage("names"));
  std::unique_ptr<admin::MetricsServer> endpoint;
  prometheus::Registry none;
  if (installation.metrics)
    endpoint = std::make_unique<admin::MetricsServer>(sched, budget, names ? names->registry : none,
                                                      *installation.metrics);
  net::Socket signals(sched, budget, hadSignals);
  std::unique_ptr<peers::PeerTransport> datagrams;
  if (station.deployment.hasPeers)
    datagrams = std::make_unique<peers::PeerTransport>(sched, budget, router, station.peerListen,
                                                       station.peers, station.peersAll);
  if (station.known.kind != json::Value::null && !watch.loadKnownList(station.known))
    throw bootstrap::SetupError("the configuration's 'known' is no list of nodes");
  if (const auto news = rollout::readRolloutState(station.news))
    router.onRolloutState(*news);
  else if (station.news.kind != json::Value::null)
    throw bootstrap::SetupError("the configuration's 'platform.news' can't be read");

  std::unique_ptr<cluster::ClusterMember> fleet;
  if (installation.fleet) {
    cluster::Routes routes{station.routes, {}};
    for (const auto &r : station.deployment.routes) routes.idempotency.push_back(r.idempotency);
    fleet = std::make_unique<cluster::ClusterMember>(
        sched, budget, router, pool, *installation.fleet, std::move(routes), station.routeTimeouts,
        unixAtZero(sched.now()), station.seed + 5, logs.forPackage("fleet"));
  }
  downstream::Listener door(sched, budget, router, pool, clientsLog, station.listen, station.routes,
                            station.routeTimeouts,
                            station.memory / 8); // what a large request takes in all is below four times it
  sched.spawn(router.run());
  sched.spawn(watch.run());
  sched.spawn(desk.keepConnectionOpen());
  sched.spawn(desk.sendVotes());
  sched.spawn(desk.followEventStream());
  sched.spawn(pool.sweep());
  if (datagrams) {
    sched.spawn(datagrams->send());
    sched.spawn(datagrams->receive());
  }
  using dns_discovery::FirstLookups;
  const bool hasList = station.known.kind != json::Value::null;
  if (names) sched.spawn(names->names.run(hasList ? FirstLookups::spread : FirstLookups::immediate));
  if (endpoint) {
    log.info("metrics are told", {{"at", net::text(endpoint->address())}});
    sched.spawn(endpoint->accept());
  }
  if (fleet) fleet->start();
  sched.spawn(door.accept());
  sched.spawn(door.sweep());
  Wish wish;
  const Movable parts{paths, station, installation, watch, desk, names ? &names->names : nullptr, logs};
  sched.spawn(takeUp(sched, parts, wish, log));
  sched.spawn(heedSignals(sched, signals, door, fleet.get(), wish, log));
  log.info("marshal serves",
           {{"name", station.name}, {"routes", station.routes.size()}, {"at", net::text(door.address())}});
  sched.run();
  if (names) names->names.saveAtExit();
  sched.destroyAllTasks(); // before what the coroutines refer to
}

} // namespace myrtlehead::app
