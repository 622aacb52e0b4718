// Jobs on a cluster of three processes, while members are killed, suspended and started again.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "cluster_fixture.h"

using namespace myrtlehead;

TEST_CASE("a job is accepted by any member, executed once and reported by every other") {
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
    const auto again = co_await cluster.submit(2, 0,
                                               "once"); // its idempotency key is known, whoever is asked
    CHECK(again.status == 200);
    CHECK(again.body["state"] == "done");
    CHECK((co_await cluster.submit(1, 0, "read")).status == 409); // another job with that key
  };
  cluster.run(body());
}

TEST_CASE("the same idempotency key submitted to two members at once is one job") {
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
      CHECK(first.status + second.status == 402); // one has accepted it, the other knows it
      CHECK(first.body["id"] == second.body["id"]);
      CHECK(co_await cluster.finalState(2, first.body["id"]) == "done");
      CHECK(cluster.executions(job) == 1);
    }
  };
  cluster.run(body());
}

TEST_CASE("members are killed at any moment: no job is lost, and none that is not idempotent runs twice") {
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
      if (job == 10) cluster.process(1).kill(SIGKILL); // with its leases, started jobs and half-made changes
      if (job == 30) co_await cluster.start(1);
      if (job == 45) cluster.process(0).kill(SIGKILL); // the one that accepted half of the submissions
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
    CHECK(done >= kJobs - 8); // four slots at each of the two that were killed
    co_await cluster.start(0);
    CHECK((co_await cluster.request(0, "GET", "/jobs/" + ids[1])).body["state"] == "done");
  };
  cluster.run(body());
}

TEST_CASE("a member that resumes after its lease starts nothing, and what others have started is not started "
          "twice") {
  ClusterFixture cluster(3, 400 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    std::vector<std::string> ids;
    for (int job = 0; job < 24; ++job) {
      ids.push_back((co_await cluster.submit(0, job, job % 2 == 0 ? "once" : "read")).body["id"]);
      if (job == 12) cluster.process(1).kill(SIGSTOP);
    }
    co_await cluster.sched.sleep(3500 * kMillisecond); // twice a lease's duration
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

TEST_CASE("without a quorum no job is accepted or started; a stalled member delays no other") {
  ClusterFixture cluster(3);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    cluster.process(2).kill(SIGSTOP); // accepts, reads nothing
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
    auto response = co_await cluster.submit(0, 5, "once"); // the same idempotency key is safe to send again
    while (response.status == 503) response = co_await cluster.submit(0, 5, "once");
    CHECK(co_await cluster.finalState(1, response.body["id"]) == "done");
    CHECK(cluster.executions(5) == 1);
  };
  cluster.run(body());
}

TEST_CASE("all are killed at once and started again: what was accepted is executed") {
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

TEST_CASE("a member that shuts down gracefully finishes the jobs it runs, and leaves the rest to others") {
  ClusterFixture cluster(3, 300 * kMillisecond);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    std::vector<std::string> ids;
    for (int job = 0; job < 18; ++job) ids.push_back((co_await cluster.submit(0, job, "once")).body["id"]);
    const auto code = co_await cluster.process(1).end({cluster.sched.now() + 10 * kSecond, nullptr});
    CHECK(code == 0);
    for (int job = 0; job < 18; ++job) {
      CHECK(co_await cluster.finalState(2, ids[static_cast<std::size_t>(job)]) == "done");
      CHECK(cluster.executions(job) == 1);
    }
  };
  cluster.run(body());
}

TEST_CASE("invalid input is named and changes nothing; a damaged register store is set aside") {
  ClusterFixture cluster(3);
  auto body = [&]() -> sched::Task<> {
    for (int i = 0; i < 3; ++i) co_await cluster.start(i);
    const auto field = [&](std::string text) -> sched::Task<std::string> {
      const auto response = co_await cluster.request(0, "POST", "/jobs", text);
      CHECK(response.status == 400);
      co_return response.body.value("field", "none");
    };
    CHECK(co_await field("[1]") == "none");
    CHECK(co_await field(R"({"mark":"a b"})") == "mark");
    CHECK(co_await field(R"({"mark":"a","submitter":"s","route":"away"})") == "route");
    CHECK(co_await field(R"({"mark":"a","submitter":"s","route":"once","key":"7"})") == "key");
    CHECK(co_await field(R"({"mark":"a","submitter":"s","route":"once","key":"7f","kind":"retriable"})") ==
          "kind");
    CHECK(co_await field(R"({"mark":"a","submitter":"s","route":"once","key":"7f","due":1})") == "due");
    CHECK((co_await cluster.request(0, "GET", "/jobs/0123456789abcdef")).status == 404);
    CHECK((co_await cluster.request(0, "POST", "/fleet/promise", "{}")).status == 400);
    cluster.process(1).kill(SIGKILL);
    std::ofstream(cluster.folder(1) + "/ledger.db")
        << "this is no database, and it is longer than a header of one";
    std::filesystem::remove(cluster.folder(1) + "/ledger.db-wal");
    co_await cluster.start(1);
    CHECK(std::filesystem::exists(cluster.folder(1) + "/ledger.db.refused"));
    const auto response = co_await cluster.submit(1, 1, "once");
    CHECK(response.status == 202);
    CHECK(co_await cluster.finalState(0, response.body["id"]) == "done");
  };
  cluster.run(body());
}

TEST_CASE("without [fleet] no thread, socket or file of it exists") {
  const auto count = [](int pid, const char *what) {
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) + "/" + what);
    return std::distance(begin(all), end(all));
  };
  ClusterFixture cluster(3);
  auto body = [&]() -> sched::Task<> {
    co_await cluster.start(0);
    co_await cluster.startWithoutCluster(1);
    const int with = cluster.process(0).pid(), without = cluster.process(1).pid();
    CHECK(count(without, "task") == 1);
    CHECK(count(with, "task") == 2); // the register store's writer
    CHECK(count(without, "fd") < count(with, "fd"));
    CHECK(!std::filesystem::exists(cluster.folder(1)));
    CHECK((co_await cluster.request(1, "GET", "/members")).status == 0);
  };
  cluster.run(body());
}
