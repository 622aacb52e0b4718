// The marshal: reads its configuration, wires the parts together, serves until SIGTERM.
#include "base/log/log.h"
#include "follow/catalog/watch.h"
#include "follow/peers/datagrams.h"
#include "follow/platform/desk.h"
#include "front/clients/door.h"
#include "program/setup/station.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <optional>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace {

using namespace myrtlehead;

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

// Before the scheduler watches anything, so that no signal falls between.
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
sched::Task<std::optional<setup::Station>> readAgain(sched::Scheduler &sched, const char *path,
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
  log.error("the new configuration is not taken up: ", why);
  co_return std::nullopt;
}

// What a running marshal takes up: where discovery and the platform are.
struct Movable {
  const char *path;
  const setup::Station &started;
  catalog::Watch &watch;
  platform::Desk &desk;
};

// SIGHUP; one that comes while an earlier one is heeded is not forgotten.
struct Wish {
  bool open = false;
  sched::Signal made;
};

sched::Task<> takeUp(sched::Scheduler &sched, const Movable &parts, Wish &wish, log::Log &log) {
  for (;;) {
    while (!wish.open) co_await sched.wait(wish.made);
    wish.open = false;
    const auto station = co_await readAgain(sched, parts.path, log);
    if (!station) continue;
    const auto rest = setup::needsRestart(parts.started, *station);
    if (!rest.empty()) log.warning("needs a restart to take up: ", rest);
    parts.watch.moveTo(station->discovery);
    parts.desk.moveTo(station->platform);
    log.info("took up the configuration: discovery at ", net::text(station->discovery), ", platform at ",
             net::text(station->platform));
  }
}

sched::Task<> heedSignals(sched::Scheduler &sched, net::Socket &signals, clients::Door &door, Wish &wish,
                          log::Log &log) {
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
  co_await door.close();
  log.info("ended");
  sched.halt();
}

void serve(const char *path, log::Log &log) {
  const auto station = setup::readStation(setup::readFile(path));
  sched::Scheduler sched;
  sched.onThrow = [&](const char *what) { log.error("a coroutine ended early: ", what); };
  constexpr int kOwn = 8; // standard streams, epoll, and what the library opens
  net::Descriptors budget(descriptorsAllowed(station.descriptors) - kOwn);
  Marshal marshal(sched, station.deployment, station.seed, log);
  catalog::Watch watch(sched, budget, marshal, log, station.discovery, station.zones,
                       unixAtZero(sched.now()));
  platform::Desk desk(sched, budget, marshal, log, station.platform, station.routes, station.callWithin);
  nodes::Pool pool(sched, budget, log, station.connectWithin, station.idleAtMost, station.loadNames,
                   station.memory / 8); // what a large answer takes in all is below three times it
  net::Socket signals(sched, budget, signalDescriptor());
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

  clients::Door door(sched, budget, marshal, pool, log, station.listen, station.routes, station.routeTimeouts,
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
  sched.spawn(door.accept());
  sched.spawn(door.sweep());
  Wish wish;
  const Movable parts{path, station, watch, desk};
  sched.spawn(takeUp(sched, parts, wish, log));
  sched.spawn(heedSignals(sched, signals, door, wish, log));
  log.info("marshal ", station.name, " serves ", station.routes.size(), " routes at ",
           net::text(door.address()));
  sched.run();
  sched.endAll(); // before what the coroutines refer to
}

} // namespace

int main(int argc, char **argv) {
  const std::string level = argc == 3 && std::string(argv[1]) == "--log" ? argv[2] : "info";
  const auto least = log::parseLevel(level);
  if ((argc != 1 && argc != 3) || !least || (argc == 3 && std::string(argv[1]) != "--log")) {
    std::cerr << "usage: PROXY_CONFIG=FILE myrtlehead [--log debug|info|warning|error]\n";
    return 2;
  }
  const char *path = std::getenv("PROXY_CONFIG");
  if (path == nullptr) {
    std::cerr << "myrtlehead: PROXY_CONFIG must name the configuration file\n";
    return 2;
  }
  log::LineBuffer lines(STDERR_FILENO);
  std::ostream out(&lines);
  log::Log log(out, *least);
  try {
    serve(path, log);
  } catch (const std::exception &e) {
    std::cerr << "myrtlehead: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
