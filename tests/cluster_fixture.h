// A cluster whose members are instances in processes of their own, in front of the laboratory's endpoints.
// There is a separate link for each direction between two members, on which a test can inject faults.
#pragma once

#include "base/http_client/persistent_connection.h"
#include "lab/fleet.h"
#include "lab/link.h"
#include "lab/process.h"

#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace myrtlehead {

using nlohmann::json;
using sched::Nanoseconds;
constexpr Nanoseconds kMillisecond = 1'000'000;
constexpr Nanoseconds kSecond = 1'000'000'000;

class ClusterFixture {
public:
  // `work` is the mean time that an endpoint needs for a statement.
  explicit ClusterFixture(int members, Nanoseconds work = 30 * kMillisecond) {
    sched.onUncaughtException = [](const char *what) { MESSAGE("uncaught exception: " << what); };
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    const auto anyPort = *net::parseAddress("127.0.0.1:0");
    lab::Fleet::Settings fleetSettings{anyPort, anyPort, 1, {{"s-1", anyPort}, {"s-2", anyPort}}, {0.3, 1}};
    fleetSettings.work.meanServiceTime = work;
    endpoints = std::make_unique<lab::Fleet>(sched, budget, fleetSettings);
    endpoints->ledger.countsRunsByRow = true;
    findAddresses(members);
    processes_.resize(static_cast<std::size_t>(members));
    for (int from = 0; from < members; ++from)
      for (int to = 0; to < members; ++to)
        links_.push_back(std::make_unique<lab::Link>(sched, budget, *net::parseAddress(address(to))));
    for (const auto &address : addresses_)
      connections_.push_back(
          std::make_unique<http_client::PersistentConnection>(sched, budget, *net::parseAddress(address)));
  }
  ~ClusterFixture() {
    processes_.clear();
    sched.destroyAllTasks();
    std::filesystem::remove_all(folder_);
  }

  // Runs `body`, which must end within 60 s.
  void run(sched::Task<> body) {
    bool isDone = false;
    sched.spawn([](sched::Task<> inner, bool &done, sched::Scheduler &s) -> sched::Task<> {
      co_await inner;
      done = true;
      s.halt();
    }(std::move(body), isDone, sched));
    sched.spawn([](sched::Scheduler &s) -> sched::Task<> {
      co_await s.sleep(60 * kSecond);
      s.halt();
    }(sched));
    sched.run();
    REQUIRE(isDone);
  }

  // Starts a member and returns once it serves clients. `extraSettings` is added to its [fleet] settings.
  sched::Task<> start(int member, std::string extraSettings = "") {
    co_await launch(member, settings(member, extraSettings));
  }
  // Starts an instance whose settings have no [fleet] table.
  sched::Task<> startWithoutCluster(int member) { co_await launch(member, "[log]\nlevel = \"info\"\n"); }
  lab::Process &process(int member) { return *processes_[static_cast<std::size_t>(member)]; }
  std::string folder(int member) const { return folder_ + "/m" + std::to_string(member); }

  // The link on which member `from` calls member `to`.
  lab::Link &link(int from, int to) {
    return *links_[static_cast<std::size_t>(from) * addresses_.size() + static_cast<std::size_t>(to)];
  }
  // Cut or heal all links between the two sides, in both directions.
  void cut(const std::vector<int> &side, const std::vector<int> &otherSide) {
    forLinksBetween(side, otherSide, [](lab::Link &link) { link.cut(); });
  }
  void heal(const std::vector<int> &side, const std::vector<int> &otherSide) {
    forLinksBetween(side, otherSide, [](lab::Link &link) { link.heal(); });
  }
  // Stall or resume both links between the two members.
  void stall(int member, int other) {
    forLinksBetween({member}, {other}, [](lab::Link &link) { link.isStalled = true; });
  }
  void resume(int member, int other) {
    forLinksBetween({member}, {other}, [](lab::Link &link) { link.isStalled = false; });
  }

  struct Response {
    int status = 0; // 0 if no response was received
    json body;
  };
  // Sends a client's request to a member and returns its response.
  sched::Task<Response> request(int member, std::string method, std::string target, std::string body = "",
                                Nanoseconds timeout = 4 * kSecond) {
    auto text = method + " " + target +
                " HTTP/1.1\r\nHost: m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto &connection = *connections_[static_cast<std::size_t>(member)];
    auto response = co_await connection.call(std::move(text), {sched.now() + timeout, nullptr});
    if (!response) co_return Response{};
    co_return Response{response->status, json::parse(response->body, nullptr, false)};
  }
  sched::Task<Response> submit(int member, int job, std::string route, int dueMs = 20'000) {
    const json body{{"mark", "job-" + std::to_string(job)},
                    {"submitter", "test"},
                    {"route", route},
                    {"key", rowKeyOf(job)},
                    {"due_ms", dueMs}};
    co_return co_await request(member, "POST", "/jobs", body.dump());
  }
  // The number of times that endpoints have executed the job's statement.
  int executions(int job) { return endpoints->ledger.runsByRow[rowKeyOf(job)]; }
  // Polls the member until it reports a final state of the job, and returns that state.
  sched::Task<std::string> finalState(int member, std::string id) {
    for (;;) {
      const auto response = co_await request(member, "GET", "/jobs/" + id);
      const auto state = response.status == 200 ? response.body["state"].get<std::string>() : "";
      if (state == "done" || state == "failed" || state == "given up") co_return state;
      co_await sched.sleep(50 * kMillisecond);
    }
  }

  sched::Scheduler sched;
  net::DescriptorBudget budget{1000};
  std::unique_ptr<lab::Fleet> endpoints;

private:
  // Chooses ports below the operating system's ephemeral range. Otherwise a connection might take the port
  // before the member listens on it.
  void findAddresses(int members) {
    for (int port = 20'000 + getpid() % 500 * 20; static_cast<int>(addresses_.size()) < members; ++port) try {
        const auto address = "127.0.0.1:" + std::to_string(port);
        net::listenTcp(sched, budget, *net::parseAddress(address));
        addresses_.push_back(address);
      } catch (const std::system_error &) { // another process listens on this port
      }
  }
  const std::string &address(int member) const { return addresses_[static_cast<std::size_t>(member)]; }
  static std::string rowKeyOf(int job) {
    char text[9];
    std::snprintf(text, sizeof text, "%08x", job);
    return text;
  }
  template <class Action>
  void forLinksBetween(const std::vector<int> &side, const std::vector<int> &otherSide, Action action) {
    for (const int member : side)
      for (const int other : otherSide) {
        action(link(member, other));
        action(link(other, member));
      }
  }
  sched::Task<> launch(int member, std::string settings) {
    const auto base = folder(member);
    std::ofstream(base + ".json") << configuration(member);
    std::ofstream(base + ".toml") << settings;
    const std::vector<std::string> arguments{"serve",        "--config", base + ".json",    "--settings",
                                             base + ".toml", "--log",    "info,fleet=debug"};
    auto &process = processes_[static_cast<std::size_t>(member)];
    process = std::make_unique<lab::Process>(sched, budget, MYRTLEHEAD_PROGRAM, arguments, base + ".log");
    const auto line = co_await process->waitForLine("instance is serving requests",
                                                    {sched.now() + 10 * kSecond, nullptr});
    REQUIRE(!line.empty());
  }
  std::string configuration(int member) const {
    json out = json::parse(R"({"listen":"127.0.0.1:0","seed":"1","settings":{"peersTotal":1,
      "failureDomains":["here"],"registryMode":"ask","resolutionUs":1000,"services":[
      {"name":"read","effect":"free","onTimeUs":500000,"deadlineUs":4000000},
      {"name":"once","effect":"single_shot","onTimeUs":500000,"deadlineUs":4000000}],"limits":{"mostTries":4},
      "familyInfo":{"control":"by_count","caps":[0.3,1.0],"free":2,"votesToGo":1},"contract":{"coldUs":100000}}})");
    out["name"] = "n" + std::to_string(member);
    out["discovery"] = endpoints->discoveryAddress();
    out["platform"] = {
        {"address", endpoints->platformAddress()},
        {"news", {{"build", 1}, {"stage", 1}, {"phase", "Healthy"}, {"cap", 1}, {"age_ms", 0}}}};
    out["known"] = json::parse(endpoints->endpointListJson(true, 0));
    return out.dump();
  }
  std::string settings(int member, const std::string &extraSettings) const {
    auto out = "[fleet]\nname = \"m" + std::to_string(member) + "\"\nlisten = \"" + address(member) +
               "\"\nfolder = \"" + folder(member) +
               "\"\nclaim = \"1500ms\"\ndrift = \"200ms\"\ngrace = \"300ms\"\npause_first = \"20ms\"\n" +
               extraSettings;
    for (std::size_t to = 0; to < addresses_.size(); ++to) {
      const auto &link = *links_[static_cast<std::size_t>(member) * addresses_.size() + to];
      out += "[[fleet.member]]\nname = \"m" + std::to_string(to) + "\"\naddress = \"" +
             net::formatAddress(link.address()) + "\"\n";
    }
    return out;
  }

  std::string folder_ = std::string(std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp") +
                        "/myrtlehead-members-" + std::to_string(getpid());
  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<lab::Link>> links_; // by sender, then by receiver
  std::vector<std::unique_ptr<lab::Process>> processes_;
  std::vector<std::unique_ptr<http_client::PersistentConnection>> connections_;
};

} // namespace myrtlehead
