#include "program/serve.h"

#include "base/log/log.h"
#include "fleet/fleet.h"
#include "follow/catalog/watch.h"
#include "follow/names/names.h"
#include "follow/peers/datagrams.h"
#include "follow/platform/desk.h"
#include "front/clients/door.h"
#include "front/metrics/endpoint.h"
#include "program/installation/installation.h"
#include "program/setup/station.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <optional>
#include <prometheus/registry.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace myrtlehead::program {

namespace {

// The Unix time at which the marshal's clock read nought; read once, so that a step of the machine's clock
// moves no node's start.
Ns unixAtZero(Ns now) {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return t.tv_sec * kSec + t.tv_nsec - now;
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
sched::Task<std::optional<setup::Station>> readAgain(sched::Scheduler &sched, const std::string &path,
                                                     log::Log &log) {
  std::string why;
  for (int tries = 0; tries < 10; ++tries) {
    if (tries > 0) co_await sched.sleep(kSec / 10);
    try {
      co_return setup::readStation(setup::readFile(path));
    } catch (const std::exception &e) {
      why = e.what();
    }
  }
  log.error("the new configuration is not taken up", {{"why", why}});
  co_return std::nullopt;
}

// What a running marshal takes up: where discovery, the platform and the servers of names are, and log
// levels.
struct Movable {
  const Paths &paths;
  const setup::Station &started;
  const setup::Installation &installed;
  catalog::Watch &watch;
  platform::Desk &desk;
  names::Names *names; // where names are followed
  log::Logs &logs;
};

// SIGHUP; one that comes while an earlier one is heeded is not forgotten.
struct Wish {
  bool open = false;
  sched::Signal made;
};

// The installation's settings, if they are whole.
void takeUpInstallation(const Movable &parts, const setup::Station &station, log::Log &log) {
  if (parts.paths.settings.empty()) return;
  const auto read = setup::readInstallation(setup::readFile(parts.paths.settings), station.zones);
  if (!read.faults.empty())
    return log.error("the new settings are not taken up",
                     {{"why", setup::text(parts.paths.settings, read.faults.front())}});
  const auto rest = setup::needsRestart(parts.installed, read.installation);
  if (!rest.empty()) log.warning("needs a restart to take up", {{"fields", rest}});
  if (!parts.paths.logLevels) parts.logs.take(read.installation.levels);
  if (parts.names != nullptr) parts.names->serversMoved(read.installation.naming.servers);
}

sched::Task<> takeUp(sched::Scheduler &sched, const Movable &parts, Wish &wish, log::Log &log) {
  for (;;) {
    while (!wish.open) co_await sched.wait(wish.made);
    wish.open = false;
    const auto station = co_await readAgain(sched, parts.paths.configuration, log);
    if (!station) continue;
    const auto rest = setup::needsRestart(parts.started, *station);
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

sched::Task<> heedSignals(sched::Scheduler &sched, net::Socket &signals, clients::Door &door,
                          fleet::Fleet *fleet, Wish &wish, log::Log &log) {
  for (;;) {
    signalfd_siginfo info{};
    const auto got = read(signals.fd(), &info, sizeof info);
    if (got != sizeof info) {
      co_await signals.readable({});
    } else if (info.ssi_signo == SIGHUP) {
      wish.open = true;
      wish.made.notify();
    } else {
      break;
    }
  }
  log.info("asked to end: answers what it has taken");
  if (fleet != nullptr) co_await fleet->close(); // first: its jobs' tries need what the door's end may take
  co_await door.close();
  log.info("ended");
  sched.halt();
}

// Name records, where the installation follows any.
struct NamesPart {
  NamesPart(sched::Scheduler &sched, net::Descriptors &budget, Marshal &marshal,
            const setup::Station &station, const setup::Installation &installation, log::Log log)
      : counters(registry),
        sources(
            installation.naming.prudence, installation.naming.resolution.staleMost, station.deployment.zone,
            subset::Subset(station.deployment.marshals, station.deployment.me, installation.naming.subset)),
        names(sched, budget, sources, installation.naming, station.seed + 2, std::move(log), counters) {
    marshal.follow(sources);
    names.changed = [&marshal] { marshal.namesChanged(); };
    if (!installation.stateFolder.empty())
      names.keepIn(installation.stateFolder + "/names", {"names", station.name}, unixAtZero(sched.now()));
  }
  prometheus::Registry registry;
  names::Counters counters;
  sources::Sources sources;
  names::Names names;
};

setup::Installation readInstallation(const Paths &paths, const setup::Station &station) {
  if (paths.settings.empty()) return {};
  auto read = setup::readInstallation(setup::readFile(paths.settings), station.zones);
  if (!read.faults.empty()) throw setup::SetupError(setup::text(paths.settings, read.faults.front()));
  return std::move(read.installation);
}

} // namespace

void serve(const Paths &paths) {
  const int hadSignals = signalDescriptor(); // before the configuration is read, and before any thread begins
  const auto station = setup::readStation(setup::readFile(paths.configuration));
  auto installation = readInstallation(paths, station);
  if (paths.logLevels) installation.levels = *paths.logLevels;
  if (paths.logForm) installation.form = *paths.logForm;
  log::Logs logs(STDERR_FILENO, installation.form, installation.levels);
  log::Log log = logs.of("program"), guardLog = logs.of("guard"), catalogLog = logs.of("catalog"),
           platformLog = logs.of("platform"), nodesLog = logs.of("nodes"), clientsLog = logs.of("clients");
  sched::Scheduler sched;
  sched.onThrow = [&](const char *what) { log.error("a coroutine ended early", {{"what", what}}); };
  constexpr int kOwn = 8; // standard streams, epoll, and what the library opens
  net::Descriptors budget(descriptorsAllowed(station.descriptors) - kOwn);
  Marshal marshal(sched, station.deployment, station.seed, guardLog);
  catalog::Watch watch(sched, budget, marshal, catalogLog, station.discovery, station.zones,
                       unixAtZero(sched.now()));
  platform::Desk desk(sched, budget, marshal, platformLog, station.platform, station.routes,
                      station.callWithin);
  nodes::Pool pool(sched, budget, nodesLog, station.connectWithin, station.idleAtMost, station.loadNames,
                   station.memory / 8); // what a large answer takes in all is below three times it
  std::unique_ptr<NamesPart> names;
  if (!installation.naming.sets.empty())
    names = std::make_unique<NamesPart>(sched, budget, marshal, station, installation, logs.of("names"));
  std::unique_ptr<metrics::Endpoint> endpoint;
  prometheus::Registry none;
  if (installation.metrics)
    endpoint = std::make_unique<metrics::Endpoint>(sched, budget, names ? names->registry : none,
                                                   *installation.metrics);
  net::Socket signals(sched, budget, hadSignals);
  std::unique_ptr<peers::Datagrams> datagrams;
  if (station.deployment.peers)
    datagrams = std::make_unique<peers::Datagrams>(sched, budget, marshal, station.peerListen, station.peers,
                                                   station.peersAll);
  if (station.known.kind != json::Value::null && !watch.start(station.known))
    throw setup::SetupError("the configuration's 'known' is no list of nodes");
  if (const auto news = platform::readNews(station.news))
    marshal.news(*news);
  else if (station.news.kind != json::Value::null)
    throw setup::SetupError("the configuration's 'platform.news' can't be read");

  std::unique_ptr<fleet::Fleet> fleet;
  if (installation.fleet) {
    fleet::Routes routes{station.routes, {}};
    for (const auto &r : station.deployment.routes) routes.kinds.push_back(r.repeat);
    fleet = std::make_unique<fleet::Fleet>(sched, budget, marshal, pool, *installation.fleet,
                                           std::move(routes), station.routeTimeouts, unixAtZero(sched.now()),
                                           station.seed + 5, logs.of("fleet"));
  }
  clients::Door door(sched, budget, marshal, pool, clientsLog, station.listen, station.routes,
                     station.routeTimeouts,
                     station.memory / 8); // what a large req takes in all is below four times it
  sched.spawn(marshal.tick());
  sched.spawn(watch.run());
  sched.spawn(desk.keepOpen());
  sched.spawn(desk.sendVotes());
  sched.spawn(desk.readBulletin());
  sched.spawn(pool.sweep());
  if (datagrams) {
    sched.spawn(datagrams->send());
    sched.spawn(datagrams->receive());
  }
  if (names) sched.spawn(names->names.run(station.known.kind != json::Value::null));
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
  if (names) names->names.saveNow();
  sched.endAll(); // before what the coroutines refer to
}

} // namespace myrtlehead::program
