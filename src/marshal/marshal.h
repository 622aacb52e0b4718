// The facade before the decision module, in blocking style: network code awaits what to do and reports what
// came of it. It knows no protocol and decides nothing; the guard's facts and due lists stay behind it.
#pragma once

#include "base/log/log.h"
#include "base/sched/scheduler.h"
#include "decide/preference/preference.h"
#include "decide/repute/repute.h"
#include "decide/sources/sources.h"
#include "decide/subscription/subscription.h"
#include "guard/guard.h"

#include <deque>
#include <unordered_map>

namespace myrtlehead {

// A node as network code knows it.
struct Target {
  std::string name, address;
  std::size_t index = 0;     // in the order of first listing
  std::uint64_t changes = 0; // grows with each change of its build, start, mode or address
  bool listed = false;       // named by the list, and ready
  Ns namedAt = 0;            // when it was last named as ready, or was first met
  Node *node = nullptr;
};

struct Choice {
  enum What { send, shed, fail, nothing } what = nothing;
  Target *target = nullptr;
  Ns until = 0;      // send: give the try up then
  Ns sendBy = 0;     // send: its last byte may not leave later
  Ns retryAfter = 0; // shed: time for the client to come back, 0 for none
};

// One req in hand, from the moment that it was taken.
class Call {
public:
  Call(int route, std::uint64_t key, Ns patience, bool repeat, Ns now);

private:
  friend class Marshal;
  Req rq_;
  Target *target_ = nullptr; // of the try that is out
  std::uint64_t changes_ = 0, news_ = 0;
  int build_ = 0;
};

using sources::Entry;

class Marshal {
public:
  Marshal(sched::Scheduler &sched, Deployment deployment, std::uint64_t seed, log::Log &log);

  // Reqs.
  sched::Task<Choice> pick(Call &call, sched::Stop &stop); // returns once there is something to do
  Choice report(Call &call, Outcome outcome);              // of the try that was out
  bool stillMeant(const Call &call) const; // whether list and news stand as when the try was picked
  void left(Call &call);                   // the client has gone away
  void load(const Call &call, const std::vector<float> &values); // as reported with the try that is out

  // The node list.
  sched::Task<> listWanted(); // returns when a subscription is to be asked for, and takes it as asked for
  void listed(const std::vector<Entry> &entries, bool whole);
  void listLine(bool here); // a sign of life, or what listed() was told; here: at discovery's present place
  void listEnded(subscription::Ended how, subscription::Others others, bool last); // last: nothing is open
  void listMoved(); // discovery is somewhere else from now on
  Target *find(const std::string &name);

  // Name records: from now on the list and they make one set by the rule of `sources`, which must live as
  // long.
  void follow(sources::Sources &sources);
  void namesChanged(); // what names have told has changed, or its time has come

  // The platform.
  sched::Task<Vote> nextVote();
  void voteAnswered(Reply reply);
  void news(const News &news);
  void flagged(const std::string &node, int route, Ns age);

  // Other marshals.
  sched::Task<Note> nextNote();
  void heard(int from, std::string_view bytes);

  sched::Task<> tick(); // asks the module round, for as long as the marshal lives

private:
  Choice carryOut(Call &call, const Step &step);
  Target &known(const std::string &name);
  void apply(const std::vector<Entry> &entries, bool whole);
  double listDraw();
  void rename(const std::vector<Entry> &entries);
  void observeGroups();
  void doubt(const repute::Telling &telling);
  void round();
  Ns now() const { return sched_.now(); }

  sched::Scheduler &sched_;
  log::Log &log_;
  Guard guard_;
  sources::Sources *sources_ = nullptr; // none: the list alone
  preference::Preference preference_;
  std::knuth_b groupChance_;
  repute::Repute repute_; // where marshals may speak to each other
  std::knuth_b reputeChance_;
  subscription::Subscription subscription_;
  std::knuth_b listChance_;
  std::deque<Target> targets_;
  std::unordered_map<std::string, Target *> byName_;
  std::unordered_map<const Node *, Target *> byNode_;
  News news_;
  std::uint64_t newsChanges_ = 0;
  std::deque<Vote> votes_;
  std::deque<Note> notes_;
  sched::Signal touched_, listSignal_, voteSignal_, noteSignal_;
  bool untouched_ = true;
};

} // namespace myrtlehead
