// Plays a scenario's events: faults of nodes, of names and of discovery, drains, offered builds, restarts.
#pragma once

#include "lab/dns_server.h"
#include "lab/fleet.h"
#include "lab/scenario.h"

#include <functional>
#include <string>

namespace myrtlehead::lab {

class EventPlayer {
public:
  // `dns`: nullptr where the run has none. `restartInstances` is awaited by events that restart them. All
  // arguments must outlive the player.
  EventPlayer(net::Scheduler &sched, const Scenario &scenario, Fleet &fleet, DnsServer *dns,
              std::function<net::Task<>()> restartInstances)
      : sched_(sched), scenario_(scenario), fleet_(fleet), dns_(dns),
        restartInstances_(std::move(restartInstances)) {}

  // Waits for the event's time and plays it, again and again where it repeats.
  net::Task<> play(Event event);
  // Keeps the zone up to date with the fleet, for as long as the run lasts; needs `dns`.
  net::Task<> followZone();

private:
  net::Task<> playOnce(Event event);
  net::Task<> injectDnsFault(const Event &event);
  net::Task<> removeFromZone(const Event &event, const std::string &server);
  net::Task<> injectNodeFault(const Event &event, EmulatedNode &node);
  std::string serverOf(const Event &event);
  void publishZone();

  net::Scheduler &sched_;
  const Scenario &scenario_;
  Fleet &fleet_;
  DnsServer *dns_;
  std::function<net::Task<>()> restartInstances_;
  std::size_t nextServer_ = 0; // of events that take each server in turn
  double missingShare_ = 0;    // of the zone's servers, the first ones
  std::string flappingServer_; // left out of the zone at the moment; "": none
};

} // namespace myrtlehead::lab
