// Which servers there are: discovery's list and name records merged into one set by the rule that
// docs/dns-srv.md tabulates. Holds sudden losses, damps what flaps, remembers what the list has let go. No
// I/O, no clock of its own: times are the instance's, whole nanoseconds.
#pragma once

#include "policy/endpoint.h"
#include "policy/rollout_types.h"
#include "policy/subsetting.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace myrtlehead::endpoint_merge {

constexpr std::size_t kMostServers = 20'000; // that names may give, and departures that are remembered
constexpr std::size_t kMostAddresses = 4;    // of one host that are used

// How carefully what names say is believed.
struct MergeSettings {
  Nanoseconds lossHold = 30 * kSecond; // a sudden loss is held so long at most
  Nanoseconds askAgain = 2 * kSecond;  // meanwhile
  int agreeing = 3;                    // answers in a row that make it believed
  Nanoseconds departedFor = 3600 *
                            kSecond; // what the list has let go stays out so long after names last had it
  Nanoseconds flapHalfLife = 60 * kSecond; // of a penalty
  double flapMost = 3, flapLeast = 1;      // out above, in again below
  Nanoseconds flapLongest = 300 * kSecond;
  bool operator==(const MergeSettings &) const = default;
};

// A line of the endpoint list.
struct Entry {
  std::string name, address;
  EndpointInfo info;
};

// One SRV record's target.
struct Target {
  std::string host;
  std::uint16_t port = 0;
  int priority = 0, weight = 0;
};

enum class Word {
  records,
  denied,       // NXDOMAIN
  empty,        // NODATA
  notAvailable, // the target "."
  failed,       // no answer: says nothing about the servers
};

// What list and names disagree on, and in which condition the set is.
struct Figures {
  std::size_t servers = 0, listed = 0, named = 0;   // in the set; in service by the list; by names
  std::size_t drainedButNamed = 0;                  // leaving or gone by the list, named all the same
  std::size_t listedNotNamed = 0;                   // in service by the list, left out by names
  std::size_t twoNames = 0, buildsDiffer = 0;       // one address with two names; two builds told
  std::size_t unresolved = 0, damped = 0, held = 0; // targets without an address; that flap; of a sudden loss
  std::size_t unknownBuild = 0, groups = 0;
  int staleSets = 0, expiredSets = 0, deniedSets = 0;
  bool lastResort = false, listDown = false;
};

// What a life leaves to the next one; times are the instance's.
struct Past {
  struct Server {
    Target target;
    Nanoseconds goneAt = 0; // 0: named
  };
  struct Set {
    std::string name;
    Nanoseconds goodAt = 0, goodUntil = 0;
    std::vector<Server> servers;
  };
  struct Host {
    std::string name;
    std::vector<std::string> addresses;
    int release = -1;
  };
  std::vector<Set> sets;
  std::vector<Host> hosts;
  std::vector<Entry> listed;
  std::vector<std::pair<std::string, Nanoseconds>> departed,
      starts; // addresses, with the last mention and the first sight
};

// "release=7" among the words of a TXT record; -1: it tells none.
int releaseIn(std::string_view text);

class EndpointMerge {
public:
  // `staleMost`: how long past its lifetime an answer serves. `subset`: which targets this instance holds.
  EndpointMerge(MergeSettings prudence, Nanoseconds staleMost, int homeZone, subsetting::Subset subset)
      : prudence_(prudence), staleMost_(staleMost), homeZone_(homeZone), subset_(subset),
        listSubset_(std::move(subset)) {}

  // An SRV name to follow; returns its number. `release`, `zone`: of servers that tell none; -1: not told.
  std::size_t follow(std::string name, int release, int zone);

  // What an SRV look-up came to, good until `goodUntil`. True: to be asked again soon, to confirm a loss.
  bool named(std::size_t set, Word word, const std::vector<Target> &targets, Nanoseconds goodUntil,
             Nanoseconds now);
  // The addresses of a target: IPv4 before IPv6. `release`: by its TXT record; -1: not told.
  // True: to be asked again soon, to confirm a denial.
  bool resolved(const std::string &host, Word word, std::vector<std::string> addresses);
  void told(const std::string &host, int release);

  void listed(const std::vector<Entry> &entries, bool whole, Nanoseconds now);
  void listFailed() { listDown_ = true; }

  // The one set: what may be sent to (ready) and what drains, each address once, in the order of names.
  std::vector<Entry> merged(Nanoseconds now);
  Nanoseconds nextChange(Nanoseconds now) const; // when merged() changes by itself; at least
  struct Wanted {
    std::string host;
    bool release = false; // its TXT record too
  };
  std::vector<Wanted> hostsWanted();                  // whose addresses are to be looked up, in order
  const Figures &figures() const { return figures_; } // of the last merged()

  Past past() const;
  void restore(const Past &past, Nanoseconds now);

private:
  struct Known { // a target that a set has, or lately had
    int priority = 0, weight = 0;
    bool named = false;   // counts as there
    bool missing = false; // but the latest answer leaves it out
    bool atFirst = false; // there before we first looked
    Nanoseconds goneAt = 0;
    double penalty = 0;
    Nanoseconds penaltyAt = 0, dampedSince = 0; // 0: not damped
  };
  using Key = std::pair<std::string, std::uint16_t>; // host, port
  struct Set {
    std::string name;
    int release = -1, zone = -1;
    std::map<Key, Known> targets;
    Nanoseconds goodAt = 0, goodUntil = 0;
    Nanoseconds lossSince = 0; // 0: none is held
    int lossHeard = 0;
    bool denied = false;             // believed to have no servers
    Nanoseconds lastResortUntil = 0; // then
  };
  struct Host {
    std::vector<std::pair<std::string, bool>> addresses; // and whether it came after the first ones
    int release = -1;
    int denials = 0; // in a row
    bool wanted = false;
  };
  struct Offer { // one address as names have it
    const Set *set;
    const Known *known;
    std::string name;
    int release;
    bool later;
  };
  using Offers = std::map<std::string, Offer>; // by address and port

  void present(Set &set, const Target &target, bool first, Nanoseconds now);
  void depart(Set &set, Nanoseconds now);
  void believeLoss(Set &set, Word word, Nanoseconds now);
  bool damped(Known &known, Nanoseconds now) const;
  double penalty(const Known &known, Nanoseconds now) const;
  void expireHolds(Nanoseconds now);
  void mentionDeparted(Nanoseconds now);
  void prune(Nanoseconds now);
  void selectTargets();
  void offer(const Set &set, const Key &key, const Known &known, Offers &out);
  Offers offers(bool lastResort, Nanoseconds now);
  EndpointInfo listingOf(const std::string &address, const Offer &offer, Nanoseconds now);
  void addListed(const Offers &offers, std::vector<Entry> &out);
  void addNamed(const Offers &offers, std::vector<Entry> &out, Nanoseconds now);
  void groups(std::vector<Entry> &out, const Offers &offers) const;
  bool serves(const std::vector<Entry> &entries) const;

  MergeSettings prudence_;
  Nanoseconds staleMost_;
  int homeZone_;
  subsetting::Subset subset_, listSubset_; // of targets, and of what the list alone has
  std::vector<Set> sets_;
  std::map<std::string, Host> hosts_;
  std::map<std::string, Entry> listed_;         // by name: in service or leaving
  std::map<std::string, Nanoseconds> departed_; // by address: when list or names last had it
  std::map<std::string, std::pair<Nanoseconds, Nanoseconds>>
      seen_;                  // by address: its start as we tell it, when it was last named
  std::set<Key> heldTargets_; // of the subset
  bool selected_ = false, allHeld_ = true, listDown_ = false;
  Figures figures_;
};

} // namespace myrtlehead::endpoint_merge
