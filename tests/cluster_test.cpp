// Tests jobs on a cluster of three processes while members are killed, suspended and restarted.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "cluster_fixture.h"

using namespace myrtlehead;

TEST_CASE("a job can be submitted to any member, is executed once and is reported by every other member") {
  ClusterFixture cluster(3);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    std::vector<std::string> ids;
    for (int job = 0; job < 12; ++job) {
      const auto response = co_await cluster.submit(job % 3, job, job % 2 == 0 ? "once" : "read");
      CHECK(response.status == 202);
      ids.push_back(response.body["id"]);
    }
    for (int job = 0; job < 12; ++job) {
      CHECK(co_await cluster.finalState((job + 1) % 3, ids[static_cast<std::size_t>(job)]) == "done");
      CHECK(cluster.executions(job) == 1);
    }
    // Every member recognises the idempotency key of the first job.
    const auto repeated = co_await cluster.submit(2, 0, "once");
    CHECK(repeated.status == 200);
    CHECK(repeated.body["state"] == "done");
    CHECK((co_await cluster.submit(1, 0, "read")).status == 409); // another job with the same key
  };
  cluster.run(body());
}

TEST_CASE("simultaneous submissions with the same idempotency key to two members create one job") {
  ClusterFixture cluster(3);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    for (int job = 0; job < 8; ++job) {
      ClusterFixture::Response first;
      bool isAnswered = false;
      cluster.sched.spawn(
          [](ClusterFixture &fixture, int j, ClusterFixture::Response &out, bool &done) -> sched::Task<> {
            out = co_await fixture.submit(0, j, "once");
            done = true;
          }(cluster, job, first, isAnswered));
      const auto second = co_await cluster.submit(1, job, "once");
      while (!isAnswered) co_await cluster.sched.sleep(kMillisecond);
      CHECK(first.status + second.status == 402); // 202 from the member that accepted it, 200 from the other
      CHECK(first.body["id"] == second.body["id"]);
      CHECK(co_await cluster.finalState(2, first.body["id"]) == "done");
      CHECK(cluster.executions(job) == 1);
    }
  };
  cluster.run(body());
}

TEST_CASE("if members are killed, no job is lost and no job that is not idempotent is executed twice") {
  ClusterFixture cluster(3, 150 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    std::vector<std::string> ids;
    constexpr int kJobs = 60;
    for (int job = 0; job < kJobs; ++job) {
      const auto response = co_await cluster.submit(job % 2 == 0 && job <= 45 ? 0 : 2, job,
                                                    job % 3 == 0 ? "once" : "read");
      REQUIRE(response.status == 202);
      ids.push_back(response.body["id"]);
      // Member 1 is killed while it has leases, started jobs and unfinished proposals.
      if (job == 10) cluster.process(1).kill(SIGKILL);
      if (job == 30) co_await cluster.start(1);
      if (job == 45) cluster.process(0).kill(SIGKILL); // member 0 has accepted half of the submissions
    }
    int done = 0;
    for (int job = 0; job < kJobs; ++job) {
      const auto state = co_await cluster.finalState(job % 2 == 0 ? 1 : 2,
                                                     ids[static_cast<std::size_t>(job)]);
      if (state == "done") CHECK(cluster.executions(job) >= 1);
      if (job % 3 == 0)
        CHECK(cluster.executions(job) <= 1);
      else
        CHECK(state == "done"); // idempotent jobs are started again
      done += state == "done";
    }
    CHECK(done >= kJobs - 8); // each of the two killed members can execute four jobs at a time
    co_await cluster.start(0);
    CHECK((co_await cluster.request(0, "GET", "/jobs/" + ids[1])).body["state"] == "done");
  };
  cluster.run(body());
}

TEST_CASE("a member that resumes after its leases have expired repeats no job that is not idempotent") {
  ClusterFixture cluster(3, 400 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    std::vector<std::string> ids;
    for (int job = 0; job < 24; ++job) {
      ids.push_back((co_await cluster.submit(0, job, job % 2 == 0 ? "once" : "read")).body["id"]);
      if (job == 12) cluster.process(1).kill(SIGSTOP);
    }
    co_await cluster.sched.sleep(3500 * kMillisecond); // more than two lease durations
    cluster.process(1).kill(SIGCONT);
    for (int job = 0; job < 24; ++job) {
      const auto state = co_await cluster.finalState(2, ids[static_cast<std::size_t>(job)]);
      if (job % 2 == 0)
        CHECK(cluster.executions(job) <= 1);
      else
        CHECK(state == "done");
    }
  };
  cluster.run(body());
}

TEST_CASE("no job is accepted or started without a quorum, and a stalled member does not delay the others") {
  ClusterFixture cluster(3);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    cluster.process(2).kill(SIGSTOP); // its listener still accepts connections, but nothing reads them
    for (int job = 0; job < 5; ++job) {
      const auto submittedAt = cluster.sched.now();
      const auto response = co_await cluster.submit(0, job, "once");
      CHECK(response.status == 202);
      CHECK(cluster.sched.now() - submittedAt < kSecond);
      CHECK(co_await cluster.finalState(1, response.body["id"]) == "done");
    }
    cluster.process(1).kill(SIGSTOP);
    CHECK((co_await cluster.submit(0, 5, "once")).status == 503);
    CHECK(cluster.executions(5) == 0);
    cluster.process(1).kill(SIGCONT);
    cluster.process(2).kill(SIGCONT);
    auto response = co_await cluster.submit(0, 5, "once"); // a submission with the same key can be repeated
    while (response.status == 503) response = co_await cluster.submit(0, 5, "once");
    CHECK(co_await cluster.finalState(1, response.body["id"]) == "done");
    CHECK(cluster.executions(5) == 1);
  };
  cluster.run(body());
}

TEST_CASE("accepted jobs are executed after all members were killed at once and restarted") {
  ClusterFixture cluster(3, 100 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    std::vector<std::string> ids;
    for (int job = 0; job < 20; ++job) ids.push_back((co_await cluster.submit(1, job, "read")).body["id"]);
    for (int i = 0; i < 3; ++i) cluster.process(i).kill(SIGKILL);
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    for (const auto &id : ids) CHECK(co_await cluster.finalState(0, id) == "done");
  };
  cluster.run(body());
}

TEST_CASE("a member that shuts down gracefully finishes its running jobs and leaves the rest to others") {
  ClusterFixture cluster(3, 300 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    std::vector<std::string> ids;
    for (int job = 0; job < 18; ++job) ids.push_back((co_await cluster.submit(0, job, "once")).body["id"]);
    const auto code = co_await cluster.process(1).terminate({cluster.sched.now() + 10 * kSecond, nullptr});
    CHECK(code == 0);
    for (int job = 0; job < 18; ++job) {
      CHECK(co_await cluster.finalState(2, ids[static_cast<std::size_t>(job)]) == "done");
      CHECK(cluster.executions(job) == 1);
    }
  };
  cluster.run(body());
}

TEST_CASE("invalid submissions are rejected with the field, and a damaged register store is set aside") {
  ClusterFixture cluster(3);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    const auto rejectedField = [&](std::string text) -> sched::Task<std::string> {
      const auto response = co_await cluster.request(0, "POST", "/jobs", text);
      CHECK(response.status == 400);
      co_return response.body.value("field", "none");
    };
    CHECK(co_await rejectedField("[1]") == "none");
    CHECK(co_await rejectedField(R"({"mark":"a b"})") == "mark");
    CHECK(co_await rejectedField(R"({"mark":"a","submitter":"s","route":"away"})") == "route");
    CHECK(co_await rejectedField(R"({"mark":"a","submitter":"s","route":"once","key":"7"})") == "key");
    CHECK(co_await rejectedField(
              R"({"mark":"a","submitter":"s","route":"once","key":"7f","kind":"retriable"})") == "kind");
    CHECK(co_await rejectedField(R"({"mark":"a","submitter":"s","route":"once","key":"7f","due":1})") ==
          "due");
    CHECK((co_await cluster.request(0, "GET", "/jobs/0123456789abcdef")).status == 404);
    CHECK((co_await cluster.request(0, "POST", "/fleet/promise", "{}")).status == 400);
    cluster.process(1).kill(SIGKILL);
    std::ofstream(cluster.folder(1) + "/ledger.db")
        << "this file is not a database, but is longer than a database's header";
    std::filesystem::remove(cluster.folder(1) + "/ledger.db-wal");
    co_await cluster.start(1);
    CHECK(std::filesystem::exists(cluster.folder(1) + "/ledger.db.refused"));
    const auto response = co_await cluster.submit(1, 1, "once");
    CHECK(response.status == 202);
    CHECK(co_await cluster.finalState(0, response.body["id"]) == "done");
  };
  cluster.run(body());
}

TEST_CASE("without [fleet] in the settings there is no cluster thread, socket or file") {
  const auto countEntries = [](int pid, const char *procFolder) {
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/" + procFolder);
    return std::distance(begin(entries), end(entries));
  };
  ClusterFixture cluster(3);
  auto body = [&]() -> sched::Task<> {
    co_await cluster.start(0);
    co_await cluster.startWithoutCluster(1);
    const int memberPid = cluster.process(0).pid(), plainPid = cluster.process(1).pid();
    CHECK(countEntries(plainPid, "task") == 1);
    CHECK(countEntries(memberPid, "task") == 2); // the second thread is the register store's writer
    CHECK(countEntries(plainPid, "fd") < countEntries(memberPid, "fd"));
    CHECK(!std::filesystem::exists(cluster.folder(1)));
    CHECK((co_await cluster.request(1, "GET", "/members")).status == 0);
  };
  cluster.run(body());
}
