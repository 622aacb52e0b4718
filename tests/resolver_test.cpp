// Look-ups and lifetimes, in virtual time.
#include "decide/resolver/agenda.h"

#include <cassert>
#include <cmath>

using namespace myrtlehead;
using namespace myrtlehead::resolver;

constexpr Ns kSec = 1'000'000'000, kNow = 1000 * kSec;
static const dns::Question kQuestion{"_pg._tcp.maps.example", dns::Type::srv};

struct Desk {
  Resolution terms;
  NameServers servers{3};
  std::knuth_b chance{5};
  Lookup lookup{kQuestion, terms, servers};
  Ask next() { return lookup.next(kNow, chance); }
};

static dns::Record srv(const std::string &owner, const std::string &target, std::uint32_t ttl = 60) {
  return {.owner = owner,
          .type = dns::Type::srv,
          .ttl = ttl,
          .port = 6432,
          .target = target,
          .address = "",
          .text = ""};
}
static dns::Record alias(const std::string &owner, const std::string &target, std::uint32_t ttl = 60) {
  return {.owner = owner, .type = dns::Type::cname, .ttl = ttl, .target = target};
}
static dns::Message answer(std::vector<dns::Record> records) { return {.answers = std::move(records)}; }

static void eachServerIsTriedBeforeOneTwice() {
  Desk d;
  std::vector<std::size_t> order;
  while (!d.lookup.over()) {
    order.push_back(d.next().server);
    d.lookup.mishap(Mishap::timedOut, kNow);
  }
  assert(order.size() == 5 && order[0] != order[1] && order[1] != order[2] && order[0] != order[2]);
  assert(d.lookup.answer().said == Said::failed && d.lookup.answer().why == "timed out");
}

static void queriesCanNotBeGuessed() {
  Desk d;
  const auto a = d.next();
  d.lookup.mishap(Mishap::timedOut, kNow);
  const auto b = d.next();
  assert(a.sent.id != b.sent.id && a.sent.letterCase != b.sent.letterCase && b.within == 2 * a.within);
}

static void oneThatFailsRests() {
  NameServers servers(2);
  std::knuth_b chance(3);
  servers.failed(0, kNow);
  assert(!servers.resting(0, kNow));
  servers.failed(0, kNow);
  assert(servers.resting(0, kNow) && !servers.resting(0, kNow + kSec));
  for (int i = 0; i < 20; ++i) assert(servers.pick({0, 0}, kNow, chance) == 1);
  servers.failed(1, kNow), servers.failed(1, kNow), servers.failed(1, kNow);
  for (int i = 0; i < 20; ++i) assert(servers.pick({0, 0}, kNow, chance) == 0); // its rest ends first
  servers.answered(1);
  for (int i = 0; i < 20; ++i) assert(servers.pick({0, 0}, kNow, chance) == 1);
}

static void whatIsTruncatedIsAskedForOverTcp() {
  Desk d;
  const auto first = d.next();
  d.lookup.answered({.truncated = true}, false, kNow);
  const auto again = d.next();
  assert(again.tcp && again.server == first.server && again.within >= 2 * kSec);
  d.lookup.mishap(Mishap::broken, kNow); // TCP breaks: another server, over UDP
  const auto third = d.next();
  assert(!third.tcp && third.server != first.server);
  d.lookup.answered(answer({srv(kQuestion.name, "s-1.maps.example")}), false, kNow);
  assert(d.lookup.over() && d.lookup.answer().said == Said::records);
}

static void truncatedOverTcpIsNoAnswer() {
  Desk d;
  for (int n = 0; !d.lookup.over(); ++n) {
    assert(n < 20);
    d.next();
    d.lookup.answered({.truncated = true}, false, kNow);
  }
  assert(d.lookup.answer().said == Said::failed);
}

static void aFoldedCaseIsBelievedOverTcpOnly() {
  Desk d;
  d.next();
  d.lookup.answered(answer({srv(kQuestion.name, "evil.example")}), true, kNow);
  assert(!d.lookup.over() && d.next().tcp);
  d.lookup.answered(answer({srv(kQuestion.name, "s-1.maps.example")}), true, kNow);
  assert(d.lookup.over() && d.lookup.answer().records[0].target == "s-1.maps.example");
}

static void fourWaysToBeToldNothing() {
  const auto said = [](dns::Message message) {
    Desk d;
    d.next();
    d.lookup.answered(message, false, kNow);
    return d.lookup.over() ? d.lookup.answer().said : Said::failed;
  };
  assert(said({.status = dns::Status::noSuchName, .denialSeconds = 5}) == Said::denied);
  assert(said({}) == Said::empty);
  assert(said({.status = dns::Status::failed}) == Said::failed);
  assert(said({.status = dns::Status::refused}) == Said::failed);
  Desk d;
  d.next();
  d.lookup.answered({.status = dns::Status::noSuchName, .denialSeconds = 5}, false, kNow);
  assert(d.lookup.answer().lifetime == 5 * kSec);
}

static void aliasesAreFollowedAndBounded() {
  Desk d;
  d.next();
  d.lookup.answered(answer({srv("b.example", "s-1.maps.example", 60), alias("a.example", "b.example", 50),
                            alias(kQuestion.name, "a.example", 20), srv("other.example", "evil.example")}),
                    false, kNow);
  assert(d.lookup.over() && d.lookup.answer().records.size() == 1 && d.lookup.answer().lifetime == 20 * kSec);
  Desk out; // leads out of the answer: asked for in its turn
  out.next();
  out.lookup.answered(answer({alias(kQuestion.name, "a.example")}), false, kNow);
  assert(!out.lookup.over() && out.next().sent.question.name == "a.example");
  Desk loop;
  loop.next();
  loop.lookup.answered(answer({alias(kQuestion.name, "a.example"), alias("a.example", kQuestion.name)}),
                       false, kNow);
  assert(loop.lookup.over() && loop.lookup.answer().why == "too many aliases");
}

static void onlyWhatItsServerMaySpeakOfComesAlong() {
  Desk d;
  d.next();
  auto m = answer({srv(kQuestion.name, "s-1.maps.example"), srv(kQuestion.name, "s-2.other.example")});
  for (const char *name : {"s-1.maps.example", "s-2.other.example", "s-3.maps.example"})
    m.additional.push_back({.owner = name, .type = dns::Type::a, .ttl = 9, .address = "127.0.0.1"});
  d.lookup.answered(m, false, kNow);
  assert(d.lookup.answer().additional.size() == 1);
  assert(d.lookup.answer().additional[0].owner == "s-1.maps.example");
}

static Answer good(Ns lifetime) { return {.said = Said::records, .lifetime = lifetime}; }

static void aLifetimeIsRefreshedAheadByChance() {
  Resolution terms;
  Ns least = INT64_MAX, most = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    Agenda a(terms, seed);
    a.want(kQuestion, 0, kNow);
    assert(a.take(kNow) == kQuestion && !a.take(kNow));
    assert(a.told(kQuestion, good(100 * kSec), kNow));
    least = std::min(least, a.nextAt() - kNow), most = std::max(most, a.nextAt() - kNow);
    assert(a.age(kQuestion, kNow + 100 * kSec) == Age::fresh &&
           a.age(kQuestion, kNow + 101 * kSec) == Age::stale);
    assert(a.age(kQuestion, kNow + 101 * kSec + terms.staleMost) == Age::expired);
  }
  assert(least >= 75 * kSec && least < 77 * kSec && most > 93 * kSec && most <= 95 * kSec);
}

static void lifetimesHaveFloorAndCeiling() {
  const Resolution terms;
  for (const auto &[told, kept] : {std::pair<Ns, Ns>{0, terms.floor},
                                   {(1LL << 31) * kSec, terms.ceiling},
                                   {-1, terms.denialDefault},
                                   {7 * kSec, 7 * kSec}}) {
    Agenda a(terms, 1);
    a.want(kQuestion, 0, kNow);
    a.take(kNow);
    a.told(kQuestion, good(told), kNow);
    assert(a.goodUntil(kQuestion) == kNow + kept);
  }
}

static void failuresBackOffAndKeepTheAnswer() {
  const Resolution terms;
  Agenda a(terms, 4);
  a.want(kQuestion, 0, kNow);
  a.take(kNow);
  a.told(kQuestion, good(10 * kSec), kNow);
  Ns now = kNow + 10 * kSec, longest = 0;
  for (int i = 0; i < 30; ++i) {
    now = std::max(now, a.nextAt());
    assert(a.take(now) == kQuestion);
    a.told(kQuestion, Answer{}, now);
    const Ns pause = a.nextAt() - now;
    assert(pause >= terms.backOffLeast && pause <= terms.backOffMost);
    longest = std::max(longest, pause);
  }
  assert(longest > 10 * kSec && a.goodUntil(kQuestion) == kNow + 10 * kSec &&
         a.age(kQuestion, now) == Age::stale);
}

static void flightsAreBoundedAndSingle() {
  const Resolution terms;
  Agenda a(terms, 4, 2);
  for (const char *name : {"a", "b", "c"}) a.want({name, dns::Type::a}, 0, kNow);
  a.want({"a", dns::Type::a}, 0, kNow);
  assert(a.size() == 3 && a.take(kNow) && a.take(kNow) && !a.take(kNow) && a.nextAt() == Agenda::kNeverDue);
  a.forget({"a", dns::Type::a});
  assert(a.open() == 1 && !a.told({"a", dns::Type::a}, good(kSec), kNow)); // nobody wants it any more
  assert(a.take(kNow) && a.open() == 2);
}

static void aHastenedQuestionIsAskedSoon() {
  const Resolution terms;
  Agenda a(terms, 4);
  a.want(kQuestion, 0, kNow);
  a.take(kNow);
  a.told(kQuestion, good(600 * kSec), kNow);
  a.hasten(kQuestion, 2 * kSec, kNow);
  assert(a.nextAt() >= kNow + 3 * kSec / 2 && a.nextAt() <= kNow + 5 * kSec / 2);
  a.cameAlong({"s-1.maps.example", dns::Type::a}, 30 * kSec, kNow);
  assert(a.goodUntil({"s-1.maps.example", dns::Type::a}) == kNow + 30 * kSec);
}

int main() {
  eachServerIsTriedBeforeOneTwice();
  queriesCanNotBeGuessed();
  oneThatFailsRests();
  whatIsTruncatedIsAskedForOverTcp();
  truncatedOverTcpIsNoAnswer();
  aFoldedCaseIsBelievedOverTcpOnly();
  fourWaysToBeToldNothing();
  aliasesAreFollowedAndBounded();
  onlyWhatItsServerMaySpeakOfComesAlong();
  aLifetimeIsRefreshedAheadByChance();
  lifetimesHaveFloorAndCeiling();
  failuresBackOffAndKeepTheAnswer();
  flightsAreBoundedAndSingle();
  aHastenedQuestionIsAskedSoon();
}
