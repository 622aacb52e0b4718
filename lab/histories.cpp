#include "lab/histories.h"

#include "cluster/job_manager.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace myrtlehead::lab {

namespace {

using cluster::HttpResponse;
using net::Nanoseconds;
constexpr Nanoseconds kMillisecond = 1'000'000, kSecond = 1'000'000'000;
constexpr Nanoseconds kUnix = 1'700'000'000 * kSecond;

struct World;

// One life of a member. A killed one stays where it waits and acts no more; its ledger's last state is the
// next one's.
struct Life {
  Life(World &world, std::uint32_t number, std::uint64_t life);
  sched::Task<> gate(); // returns while the life runs: later where it is paused, never where it is dead
  bool dead = false;
  Nanoseconds pausedUntil = 0;

  struct Disk final : cluster::RegisterStore {
    Disk(World &w, Life &l, std::uint32_t n, std::uint64_t life);
    sched::Task<std::string> keep(std::string key) override;
    World &world;
    Life &owner;
    std::uint32_t number;
  } disk;
  struct Ways final : cluster::MemberClient {
    Ways(World &w, Life &l, std::uint32_t n) : world(w), owner(l), number(n) {}
    net::Task<net::Result<HttpResponse>> ask(std::uint32_t member, std::string what, std::string body,
                                             net::Deadline until) override;
    World &world;
    Life &owner;
    std::uint32_t number;
  } ways;
  struct Nodes final : cluster::JobExecutor {
    Nodes(World &w, Life &l) : world(w), owner(l) {}
    net::Task<cluster::Ran> run(cluster::JobRecord record, sched::CancellationToken &stop) override;
    World &world;
    Life &owner;
  } nodes;
  World &world;
  std::uint32_t number;
  cluster::ReplicatedRegisters registers;
  cluster::JobManager jobs;
};

struct World {
  World(const Drawn &d, std::uint64_t seed) : drawn(d), sched(sched::Clock::simulated) {
    chance.seed(static_cast<std::knuth_b::result_type>(seed ^ seed >> 32));
    const auto n = static_cast<std::size_t>(d.members);
    stored.resize(n), now.resize(n), cutBetween.assign(n, std::vector<bool>(n, false));
    membership.members.resize(n);
    membership.terms.claimFor = 2 * kSecond, membership.terms.drift = 200 * kMillisecond,
    membership.terms.grace = 500 * kMillisecond;
    membership.terms.pauseFirst = 50 * kMillisecond;
    for (std::size_t i = 0; i < n; ++i) apart.push_back(any(-100, 100) * kMillisecond);
    sched.onUncaughtException = [this](const char *what) {
      history.breaches.push_back(std::string("thrown: ") + what);
    };
  }
  Nanoseconds any(Nanoseconds from, Nanoseconds to) {
    return std::uniform_int_distribution<Nanoseconds>(from, to)(chance);
  }
  bool oneIn(int n) { return any(1, n) == 1; }
  void start(std::uint32_t i) {
    lives.push_back(std::make_unique<Life>(*this, i, ++lifeNo));
    now[i] = lives.back().get();
    sched.spawn(now[i]->jobs.look());
  }
  const Drawn &drawn;
  sched::Scheduler sched;
  std::ostringstream lines;
  log::Logs logs{lines, log::Format::text, {log::Level::error, {}}};
  log::Log log = logs.forPackage("fleet");
  std::knuth_b chance;
  cluster::Membership membership;
  cluster::Routes routes{{"read", "once"}, {Idempotency::idempotent, Idempotency::notIdempotent}};
  std::vector<Nanoseconds> apart;
  std::vector<std::map<std::string, custody::Held>> stored; // what each disk holds
  std::vector<Life *> now;
  std::vector<std::unique_ptr<Life>> lives;
  std::vector<std::vector<bool>> cutBetween; // from, to: questions and answers are lost on that way
  std::map<std::string, int> runs;           // by job
  std::map<std::string, std::string> ends;   // by job, as first told
  std::uint64_t lifeNo = 0;
  bool over = false;
  History history;
};

Life::Disk::Disk(World &w, Life &l, std::uint32_t n, std::uint64_t life) : world(w), owner(l), number(n) {
  registers_ = w.stored[n];
  life_ = life;
}

Life::Life(World &w, std::uint32_t n, std::uint64_t life)
    : disk(w, *this, n, life), ways(w, *this, n), nodes(w, *this), world(w), number(n),
      registers(w.sched, ways, disk, n, static_cast<std::uint32_t>(w.drawn.members), life * 7919),
      jobs(w.sched, registers, disk, nodes, w.log, w.membership, w.routes, kUnix + w.apart[n],
           life * 104729) {}

sched::Task<> Life::gate() {
  while (dead) co_await world.sched.sleep(1'000'000 * kSecond);
  while (world.sched.now() < pausedUntil) co_await world.sched.sleep(pausedUntil - world.sched.now());
  while (dead) co_await world.sched.sleep(1'000'000 * kSecond);
}

sched::Task<std::string> Life::Disk::keep(std::string key) {
  const auto held = registers_[key];
  const Nanoseconds takes = world.any(kMillisecond / 5, 4 * kMillisecond);
  co_await world.sched.sleep(takes);
  co_await owner.gate();
  if (!world.over && world.oneIn(200)) co_return "no space left";
  world.stored[number][key] = held;
  co_return "";
}

net::Task<net::Result<HttpResponse>> Life::Ways::ask(std::uint32_t member, std::string what, std::string body,
                                                     net::Deadline until) {
  co_await owner.gate();
  const Nanoseconds there = world.any(kMillisecond / 2,
                                      world.oneIn(20) ? 400 * kMillisecond : 5 * kMillisecond),
                    back = world.any(kMillisecond / 2, 5 * kMillisecond);
  const bool twice = world.oneIn(50);
  co_await world.sched.sleep(there);
  const bool lost = world.cutBetween[number][member] || (!world.over && world.oneIn(40));
  const net::Failure none{net::ErrorCode::timedOut, net::SendProgress::fullyWritten};
  HttpResponse answer;
  if (!lost && world.sched.now() < until.at) {
    auto *to = world.now[member];
    co_await to->gate(); // a paused member answers late, a dead one never: its asker goes on by its deadline
    for (int i = 0; i < (twice ? 2 : 1); ++i) {
      if (what == "promise")
        answer = co_await to->registers.promise(body);
      else
        answer = co_await to->registers.accept(body);
    }
    co_await world.sched.sleep(back);
  }
  co_await owner.gate();
  if (lost || world.cutBetween[member][number] || world.sched.now() >= until.at) co_return none;
  co_return answer;
}

net::Task<cluster::Ran> Life::Nodes::run(cluster::JobRecord record, sched::CancellationToken &stop) {
  cluster::Ran out;
  const bool shed = world.oneIn(8);
  const Nanoseconds takes = world.any(20 * kMillisecond, world.oneIn(6) ? 6 * kSecond : 800 * kMillisecond);
  if (stop.isCancelled() || shed) co_return out;
  ++world.runs[record.job.id], ++world.history.begun;
  const auto woken = co_await world.sched.sleep(takes, &stop);
  co_await owner.gate();
  out.how = woken == sched::WakeReason::cancelled || world.oneIn(10) ? custody::How::failed
                                                                     : custody::How::done;
  out.reason = out.how == custody::How::failed ? "drawn" : "";
  co_return out;
}

sched::Task<> befall(World &w) {
  for (int i = 0; i < w.drawn.faults; ++i) {
    const Nanoseconds pause = w.any(10 * kMillisecond, 900 * kMillisecond);
    co_await w.sched.sleep(pause);
    const auto who = static_cast<std::uint32_t>(w.any(0, w.drawn.members - 1));
    const auto kind = w.any(0, 3);
    if (kind == 0) {
      ++w.history.kills;
      w.now[who]->dead = true;
      const Nanoseconds down = w.any(0, 3 * kSecond);
      w.sched.spawn([](World &all, std::uint32_t m, Nanoseconds time) -> sched::Task<> {
        co_await all.sched.sleep(time);
        if (all.now[m]->dead) all.start(m);
      }(w, who, down));
    } else if (kind == 1) {
      ++w.history.pauses;
      w.now[who]->pausedUntil = w.sched.now() + w.any(100 * kMillisecond, 6 * kSecond);
    } else { // one way, or a part of the members from the others
      ++w.history.cuts;
      std::vector<std::pair<std::size_t, std::size_t>> ways;
      const auto n = static_cast<std::size_t>(w.drawn.members);
      const auto side = w.any(1, (1 << w.drawn.members) - 2);
      for (std::size_t a = 0; a < n; ++a)
        for (std::size_t b = 0; b < n; ++b)
          if (a != b && (kind == 2 ? a == who : ((side >> a) & 1) != ((side >> b) & 1)))
            ways.emplace_back(a, b);
      for (const auto &[a, b] : ways) w.cutBetween[a][b] = true;
      const Nanoseconds lasts = w.any(50 * kMillisecond, 5 * kSecond);
      w.sched.spawn([](World &all, std::vector<std::pair<std::size_t, std::size_t>> healed,
                       Nanoseconds time) -> sched::Task<> {
        co_await all.sched.sleep(time);
        for (const auto &[a, b] : healed) all.cutBetween[a][b] = false;
      }(w, std::move(ways), lasts));
    }
  }
}

// As a submitter does: to any member that is up, the same mark again until it is confirmed.
sched::Task<std::string> submit(World &w, int job) {
  const nlohmann::json body{{"mark", "j" + std::to_string(job)},
                            {"submitter", "s"},
                            {"route", job % 2 == 0 ? "once" : "read"},
                            {"key", "7f"},
                            {"due_ms", 120'000}};
  const auto text = body.dump();
  for (;;) {
    auto *life = w.now[static_cast<std::size_t>(w.any(0, w.drawn.members - 1))];
    const Nanoseconds pause = w.any(5 * kMillisecond, 200 * kMillisecond);
    co_await w.sched.sleep(pause);
    if (life->dead || w.sched.now() < life->pausedUntil) continue;
    const auto said = co_await life->jobs.submit(text);
    if (life->dead || (said.status != 202 && said.status != 200)) continue;
    co_return nlohmann::json::parse(said.body)["id"].get<std::string>();
  }
}

sched::Task<> watch(World &w, int job) {
  const auto id = co_await submit(w, job);
  ++w.history.taken;
  for (;;) {
    const Nanoseconds pause = w.any(50 * kMillisecond, 900 * kMillisecond);
    co_await w.sched.sleep(pause);
    auto *life = w.now[static_cast<std::size_t>(w.any(0, w.drawn.members - 1))];
    if (life->dead || w.sched.now() < life->pausedUntil) continue;
    const auto said = co_await life->jobs.tell(id);
    if (life->dead) continue;
    if (said.status == 404) w.history.breaches.push_back("lost: " + id);
    if (said.status != 200) continue;
    const auto state = nlohmann::json::parse(said.body)["state"].get<std::string>();
    const bool over = state == "done" || state == "failed" || state == "given up";
    auto &first = w.ends[id];
    if (!first.empty() && first != state)
      w.history.breaches.push_back(fmt::format("two reports: {} was {}, then {}", id, first, state));
    if (!over) continue;
    if (first.empty()) {
      first = state;
      w.history.done += state == "done", w.history.failed += state == "failed",
          w.history.givenUp += state == "given up";
      if (state == "done" && w.runs[id] == 0) w.history.breaches.push_back("done, and never run: " + id);
    }
    if (job % 2 == 0 && w.runs[id] > 1)
      w.history.breaches.push_back(fmt::format("may not run twice, and ran {} times: {}", w.runs[id], id));
  }
}

sched::Task<> all(World &w) {
  for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(w.drawn.members); ++i) w.start(i);
  for (int job = 0; job < w.drawn.jobs; ++job) w.sched.spawn(watch(w, job));
  co_await befall(w);
  co_await w.sched.sleep(7 * kSecond); // the last of them heals by itself
  w.over = true;
  const auto open = [&] {
    return static_cast<int>(w.ends.size()) < w.drawn.jobs ||
           std::ranges::any_of(w.ends, [](auto &e) { return e.second.empty(); });
  };
  for (int half = 0; half < 300 && open(); ++half)
    co_await w.sched.sleep(kSecond / 2); // past every job's due time
  co_await w.sched.sleep(3 * kSecond);   // in which each is told a few times more
  if (w.history.taken != w.drawn.jobs) w.history.breaches.push_back("not taken, with all members well");
  if (static_cast<int>(w.ends.size()) != w.drawn.jobs)
    w.history.breaches.push_back("not ended past its due time");
  for (const auto &[id, end] : w.ends)
    if (end.empty()) w.history.breaches.push_back("not ended past its due time: " + id);
  w.sched.halt();
}

} // namespace

History playHistory(const Drawn &drawn, std::uint64_t seed) {
  World w(drawn, seed);
  w.sched.spawn(all(w));
  w.sched.run();
  w.sched.destroyAllTasks();
  return w.history;
}

} // namespace myrtlehead::lab
