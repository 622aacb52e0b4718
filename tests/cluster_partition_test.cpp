// Tests jobs on a cluster of processes while the links between members are partitioned, lose one direction,
// stall, are slow, or are reset inside a message.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "cluster_fixture.h"

using namespace myrtlehead;

namespace {

// Submits the job until the member accepts it, stores its id in `id` and returns the number of rejections.
sched::Task<int> submitUntilAccepted(ClusterFixture &cluster, int member, int job, std::string route,
                                     std::string &id) {
  for (int rejections = 0;; ++rejections) {
    const auto response = co_await cluster.submit(member, job, route);
    if (response.status == 202 || response.status == 200) {
      id = response.body["id"];
      co_return rejections;
    }
    co_await cluster.sched.sleep(100 * kMillisecond);
  }
}

// Waits until all jobs have finished and checks how often each was executed: a job that is done at least
// once, and the jobs from `firstNonIdempotent` on at most once. Returns the number of jobs that are done.
sched::Task<int> checkFinalStates(ClusterFixture &cluster, int member, const std::vector<std::string> &ids,
                                  int firstNonIdempotent) {
  int done = 0;
  for (std::size_t job = 0; job < ids.size(); ++job) {
    const auto state = co_await cluster.finalState(member, ids[job]);
    const int executions = cluster.executions(static_cast<int>(job));
    if (state == "done") CHECK(executions >= 1);
    if (static_cast<int>(job) >= firstNonIdempotent) CHECK(executions <= 1);
    done += state == "done";
  }
  co_return done;
}

} // namespace

TEST_CASE("a partition with lease holders on both sides loses no job and repeats none") {
  ClusterFixture cluster(5, 250 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 5; ++i) co_await cluster.start(i);
    std::vector<std::string> ids(40);
    for (int job = 0; job < 20; ++job)
      co_await submitUntilAccepted(cluster, job % 5, job, "once", ids[static_cast<std::size_t>(job)]);
    cluster.cut({0, 1}, {2, 3, 4}); // jobs are running on both sides
    CHECK((co_await cluster.submit(0, 20, "once")).status == 503);
    for (int job = 20; job < 40; ++job)
      co_await submitUntilAccepted(cluster, 2 + job % 3, job, "once", ids[static_cast<std::size_t>(job)]);
    for (int job = 20; job < 40; ++job)
      CHECK(co_await cluster.finalState(3, ids[static_cast<std::size_t>(job)]) == "done");
    cluster.heal({0, 1}, {2, 3, 4});
    const int done = co_await checkFinalStates(cluster, 0, ids, 0);
    // Results of jobs that ran on the smaller side could not be recorded before their leases expired.
    CHECK(done >= 32);
    for (int i = 1; i < 5; ++i) { // every member reports the same state
      const auto response = co_await cluster.request(i, "GET", "/jobs/" + ids[5]);
      CHECK(response.status == 200);
      CHECK(response.body["state"] == co_await cluster.finalState(0, ids[5]));
    }
  };
  cluster.run(body());
}

TEST_CASE("a member that receives no replies accepts no job, and the other members continue") {
  ClusterFixture cluster(3, 50 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    for (int to = 0; to < 2; ++to)
      cluster.link(2, to).dropsResponses = true; // member 2 sends calls but receives no replies
    std::vector<std::string> ids(20);
    for (int job = 0; job < 20; ++job)
      co_await submitUntilAccepted(cluster, job % 2, job, "once", ids[static_cast<std::size_t>(job)]);
    CHECK((co_await cluster.submit(2, 20, "once")).status == 503); // the other members may have stored it
    CHECK(co_await checkFinalStates(cluster, 1, ids, 0) == 20);
    for (int to = 0; to < 2; ++to) cluster.link(2, to).dropsResponses = false;
    std::string id;
    co_await submitUntilAccepted(cluster, 2, 20, "once", id);
    CHECK(co_await cluster.finalState(0, id) == "done");
    CHECK(cluster.executions(20) == 1);
  };
  cluster.run(body());
}

TEST_CASE("a member with stalled links does not delay the others, and continues once they resume") {
  ClusterFixture cluster(3, 20 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    for (int other = 0; other < 2; ++other) cluster.stall(2, other);
    std::vector<std::string> ids(30);
    Nanoseconds longestSubmission = 0;
    for (int job = 0; job < 30; ++job) {
      const auto submittedAt = cluster.sched.now();
      CHECK(co_await submitUntilAccepted(cluster, job % 2, job, "once", ids[static_cast<std::size_t>(job)]) ==
            0);
      longestSubmission = std::max(longestSubmission, cluster.sched.now() - submittedAt);
    }
    CHECK(longestSubmission < kSecond);
    CHECK(co_await checkFinalStates(cluster, 0, ids, 0) == 30);
    for (int other = 0; other < 2; ++other) cluster.resume(2, other);
    CHECK(co_await cluster.finalState(2, ids[0]) == "done");
  };
  cluster.run(body());
}

TEST_CASE("links that are slow and are reset inside messages lose and repeat no job") {
  ClusterFixture cluster(3, 30 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    std::vector<std::string> ids(40);
    for (int job = 0; job < 40; ++job) {
      auto &link = cluster.link(job % 3, (job + 1) % 3);
      link.resetAfter(static_cast<std::size_t>(30 + 41 * job % 700));
      link.delay = job % 4 * 15 * kMillisecond;
      co_await submitUntilAccepted(cluster, job % 3, job, job < 20 ? "read" : "once",
                                   ids[static_cast<std::size_t>(job)]);
    }
    const int done = co_await checkFinalStates(cluster, 1, ids, 20);
    CHECK(done == 40);
    int resets = 0;
    for (int from = 0; from < 3; ++from) resets += cluster.link(from, (from + 1) % 3).resets();
    CHECK(resets >= 5); // a reset happens only if enough bytes pass over the link
  };
  cluster.run(body());
}
