// The guard's interface: the door of the decision module. An instance is asked three things - where to send a
// request, what to do after an outcome, how long to wait - and is told facts by plain calls. What falls due
// of itself (votes, notes, probes, list calls, log lines) comes back from due(). No wire is known here.
#pragma once

#include "policy/guard_state.h"
#include "policy/types.h"

namespace myrtlehead {

class Guard {
public:
  Guard(Deployment deployment, std::uint64_t seed, Nanoseconds now);

  // The three questions.
  RoutingDecision where(Request &rq, Nanoseconds now);
  RoutingDecision after(Request &rq, int tryNo, Outcome outcome, Nanoseconds took, bool settled,
                        Nanoseconds now);
  Nanoseconds wait(const Request &rq,
                   Nanoseconds now) const; // until a held request should be asked about again
  Nanoseconds wait(Nanoseconds now) const; // until due() should be asked again

  // Facts.
  Endpoint &addEndpoint() { return s.nodes.emplace_back(); }
  void listed(Endpoint &node, const EndpointInfo &info, Nanoseconds now);
  void listComplete(bool whole); // a whole list unnames every endpoint not in it
  void unsure(Nanoseconds provenSince) {
    s.provenSince = provenSince;
  } // the list may lack departures since then; 0: none
  void news(const RolloutState &news, Nanoseconds now);
  void voteAnswered(VoteReply reply, Nanoseconds now);
  void note(int from, const std::uint8_t *bytes, std::size_t n, Nanoseconds now);
  void flagged(Endpoint &node, int route, Nanoseconds sentAgo, Nanoseconds now);
  void tallied(int build, int route, std::uint32_t bad, std::uint32_t all, Nanoseconds meanTime,
               Nanoseconds now);
  void loadReport(Endpoint &node, const std::vector<float> &values, Nanoseconds now);
  void streaming(Request &rq, int, Nanoseconds) { rq.streaming = true; }
  void gone(Request &rq) { rq.ended = true; } // the client has left

  DueActions due(Nanoseconds now);

  Instance s; // open to tests: they build the state that they need
private:
  const Route &routeOf(const Request &rq) const { return s.d.routes[static_cast<std::size_t>(rq.route)]; }
  bool onTrial(int build) const;
  double capOf(int build) const;
  bool trialOpen(const Request &rq, int build) const;
  double &creditFor(const Request &rq);
  void bookCredit(const Request &rq);
  double warmth(const Endpoint &n, Nanoseconds now) const;
  bool room(Endpoint &n, double mostPace, Nanoseconds now);
  double load(const Endpoint &n, Nanoseconds now) const;
  bool silent(const Endpoint &n, Nanoseconds now) const;
  bool farAway() const;
  bool doubtful(const Endpoint &n, Nanoseconds now) const;
  void awake(Nanoseconds now);
  double betterFailShare() const;
  double crowding(Nanoseconds now) const;
  bool mayTake(const Request &rq, const Endpoint &n) const;
  Endpoint *twoChoices(std::vector<Endpoint *> &from, const Request &rq, double mostPace, Nanoseconds now);
  Endpoint *choose(const Request &rq, Nanoseconds now);
  bool mayShed(const Request &rq) const;
  bool mayResend(const Request &rq, Nanoseconds now) const;
  Nanoseconds sendBy(const Request &rq) const;
  double shedShare(const Request &rq) const;
  RoutingDecision giveUp(Request &rq, Nanoseconds now);
  RoutingDecision dispatch(Request &rq, Endpoint &n, Nanoseconds now);
  void health(Endpoint &n, Outcome outcome, Nanoseconds took, Nanoseconds now);
  void judge(const Request &rq, const Attempt &t, Outcome outcome, Nanoseconds took, Nanoseconds now);
  void count(int build, int route, double hard, double late, double seen, bool soft, std::uint16_t mark,
             Nanoseconds now);
  void answered(int build, double answers, double flags);
  void move(std::size_t channel, double by, double outcomes);
  void report(std::size_t channel);
  void leftOver(std::size_t channel);
  double leastMove() const;
  void fuse(std::size_t channel, double moved, double outcomes, std::uint16_t mark);
  double level(const Channel &c) const;
  double highest() const;
  int voters() const;
  int fusers() const;
  double threshold() const;
  Verdict verdict(Nanoseconds now) const;
  Verdict ownVerdict(Nanoseconds now) const;
  void say(Nanoseconds now);
  void settle(Nanoseconds now);
  Nanoseconds turn() const;
  void castVote(Nanoseconds now);
  void learnRate(Nanoseconds now);
  void learnShed(Nanoseconds now);
  void learnTypical(const Route &route, Outcome outcome, Nanoseconds took);
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(s.chance); }

  DueActions out;
};

} // namespace myrtlehead
