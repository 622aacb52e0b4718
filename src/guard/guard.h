// The guard's interface: the door of the decision module. An instance is asked three things - where to send a
// req, what to do after an outcome, how long to wait - and is told facts by plain calls. What falls due of
// itself (votes, notes, probes, list calls, log lines) comes back from due(). No wire is known here.
#pragma once

#include "guard/state.h"
#include "guard/terms.h"

namespace myrtlehead {

class Guard {
public:
  Guard(Deployment deployment, std::uint64_t seed, Ns now);

  // The three questions.
  Step where(Req &rq, Ns now);
  Step after(Req &rq, int tryNo, Outcome outcome, Ns took, bool settled, Ns now);
  Ns wait(const Req &rq, Ns now) const; // until a held req should be asked about again
  Ns wait(Ns now) const;                // until due() should be asked again

  // Facts.
  Node &newNode() { return s.nodes.emplace_back(); }
  void listed(Node &node, const Listing &listing, Ns now);
  void listComplete(bool whole); // a whole list unnames every node not in it
  void unsure(Ns provenSince) {
    s.provenSince = provenSince;
  } // the list may lack departures since then; 0: none
  void news(const News &news, Ns now);
  void voteAnswered(Reply reply, Ns now);
  void note(int from, const std::uint8_t *bytes, std::size_t n, Ns now);
  void flagged(Node &node, int route, Ns sentAgo, Ns now);
  void tallied(int build, int route, std::uint32_t bad, std::uint32_t all, Ns meanTime, Ns now);
  void loadReport(Node &node, const std::vector<float> &values, Ns now);
  void streaming(Req &rq, int, Ns) { rq.streaming = true; }
  void gone(Req &rq) { rq.ended = true; } // the client has left

  Due due(Ns now);

  Instance s; // open to tests: they build the state that they need
private:
  const Route &routeOf(const Req &rq) const { return s.d.routes[static_cast<std::size_t>(rq.route)]; }
  bool onTrial(int build) const;
  double capOf(int build) const;
  bool trialOpen(const Req &rq, int build) const;
  double &creditFor(const Req &rq);
  void bookCredit(const Req &rq);
  double warmth(const Node &n, Ns now) const;
  bool room(Node &n, double mostPace, Ns now);
  double load(const Node &n, Ns now) const;
  bool silent(const Node &n, Ns now) const;
  bool farAway() const;
  bool doubtful(const Node &n, Ns now) const;
  void awake(Ns now);
  double betterFailShare() const;
  double crowding(Ns now) const;
  bool mayTake(const Req &rq, const Node &n) const;
  Node *twoChoices(std::vector<Node *> &from, const Req &rq, double mostPace, Ns now);
  Node *choose(const Req &rq, Ns now);
  bool mayShed(const Req &rq) const;
  bool mayResend(const Req &rq, Ns now) const;
  Ns sendBy(const Req &rq) const;
  double shedShare(const Req &rq) const;
  Step giveUp(Req &rq, Ns now);
  Step dispatch(Req &rq, Node &n, Ns now);
  void health(Node &n, Outcome outcome, Ns took, Ns now);
  void judge(const Req &rq, const Try &t, Outcome outcome, Ns took, Ns now);
  void count(int build, int route, double hard, double late, double seen, bool soft, std::uint16_t mark,
             Ns now);
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
  Verdict verdict(Ns now) const;
  Verdict ownVerdict(Ns now) const;
  void say(Ns now);
  void settle(Ns now);
  Ns turn() const;
  void castVote(Ns now);
  void learnRate(Ns now);
  void learnShed(Ns now);
  void learnTypical(const Route &route, Outcome outcome, Ns took);
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(s.chance); }

  Due out;
};

} // namespace myrtlehead
