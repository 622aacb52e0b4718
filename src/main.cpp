// The marshal: reads its configuration, wires the parts together, serves until SIGTERM.
#include "catalog/watch.h"
#include "clients/door.h"
#include "log/log.h"
#include "peers/datagrams.h"
#include "platform/desk.h"
#include "setup/station.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
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
  sigprocmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

sched::Task<> endOnSignal(sched::Scheduler &sched, net::Socket &signals, clients::Door &door, log::Log &log) {
  co_await signals.readable({});
  log.info("asked to end: answers what it has taken");
  co_await door.close();
  log.info("ended");
  sched.halt();
}

void serve(const setup::Station &station, log::Log &log) {
  sched::Scheduler sched;
  sched.onThrow = [&](const char *what) { log.error("a coroutine ended early: ", what); };
  constexpr int kOwn = 8; // standard streams, epoll, and what the library opens
  net::Descriptors budget(descriptorsAllowed(station.descriptors) - kOwn);
  Marshal marshal(sched, station.deployment, station.seed, log);
  catalog::Watch watch(sched, budget, marshal, log, station.discovery, station.zones,
                       unixAtZero(sched.now()));
  platform::Desk desk(sched, budget, marshal, log, station.platform, station.routes, station.callWithin);
  nodes::Pool pool(sched, budget, log, station.connectWithin, station.idleAtMost, station.loadNames);
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
  sched.spawn(endOnSignal(sched, signals, door, log));
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
    serve(setup::readStation(setup::readFile(path)), log);
  } catch (const std::exception &e) {
    std::cerr << "myrtlehead: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
