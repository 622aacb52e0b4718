// Several instances as processes of their own, members of one fleet, before the laboratory's endpoints.
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
constexpr Nanoseconds kMillisecond = 1'000'000, kSecond = 1'000'000'000;

class Members {
public:
  explicit Members(int n, Nanoseconds work = 30 * kMillisecond) {
    sched.onUncaughtException = [](const char *what) { MESSAGE("thrown: " << what); };
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    const auto any = *net::parseAddress("127.0.0.1:0");
    lab::Fleet::Beginning beginning{any, any, 1, {{"s-1", any}, {"s-2", any}}, {0.3, 1}};
    beginning.work.mean = work;
    nodes = std::make_unique<lab::Fleet>(sched, budget, beginning);
    nodes->ledger.countsRunsByRow = true;
    // Below the ports that the system draws, or a connection could have taken one before its member listens
    // there.
    for (int port = 20'000 + getpid() % 500 * 20; static_cast<int>(at_.size()) < n; ++port) try {
        const auto at = "127.0.0.1:" + std::to_string(port);
        net::listenTcp(sched, budget, *net::parseAddress(at));
        at_.push_back(at);
      } catch (const std::system_error &) { // somebody else's
      }
    processes_.resize(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
      for (int to = 0; to < n; ++to)
        links_.push_back(std::make_unique<lab::Link>(sched, budget, *net::parseAddress(at(to))));
    for (const auto &at : at_)
      lines_.push_back(
          std::make_unique<http_client::PersistentConnection>(sched, budget, *net::parseAddress(at)));
  }
  ~Members() {
    processes_.clear();
    sched.destroyAllTasks();
    std::filesystem::remove_all(folder_);
  }

  // Runs the body to its end; a minute is too long for any.
  void run(sched::Task<> body) {
    bool done = false;
    sched.spawn([](sched::Task<> inner, bool &over, sched::Scheduler &s) -> sched::Task<> {
      co_await inner;
      over = true;
      s.halt();
    }(std::move(body), done, sched));
    sched.spawn([](sched::Scheduler &s) -> sched::Task<> {
      co_await s.sleep(60 * kSecond);
      s.halt();
    }(sched));
    sched.run();
    REQUIRE(done);
  }

  sched::Task<> start(int i, std::string extra = "") { co_await launch(i, settings(i, extra)); }
  sched::Task<> startAlone(int i) {
    co_await launch(i, "[log]\nlevel = \"info\"\n");
  } // no member of anything
  sched::Task<> launch(int i, std::string settings) {
    const auto base = folder_ + "/m" + std::to_string(i);
    std::ofstream(base + ".json") << configuration(i);
    std::ofstream(base + ".toml") << settings;
    const std::vector<std::string> arguments{"serve",        "--config", base + ".json",    "--settings",
                                             base + ".toml", "--log",    "info,fleet=debug"};
    auto &p = processes_[static_cast<std::size_t>(i)];
    p = std::make_unique<lab::Process>(sched, budget, MYRTLEHEAD_PROGRAM, arguments, base + ".log");
    const auto line = co_await p->line("marshal serves", {sched.now() + 10 * kSecond, nullptr});
    REQUIRE(!line.empty());
  }
  lab::Process &process(int i) { return *processes_[static_cast<std::size_t>(i)]; }
  std::string folder(int i) const { return folder_ + "/m" + std::to_string(i); }
  // The way that member `from` takes to member `to`.
  lab::Link &link(int from, int to) {
    return *links_[static_cast<std::size_t>(from) * at_.size() + static_cast<std::size_t>(to)];
  }
  void part(const std::vector<int> &one, const std::vector<int> &other, bool apart) {
    for (const int a : one)
      for (const int b : other)
        for (auto *way : {&link(a, b), &link(b, a)}) apart ? way->cut() : way->heal();
  }
  const std::string &at(int i) const { return at_[static_cast<std::size_t>(i)]; }

  struct Said {
    int status = 0; // 0: no answer
    json body;
  };
  sched::Task<Said> ask(int i, std::string method, std::string target, std::string body = "",
                        Nanoseconds within = 4 * kSecond) {
    auto request = method + " " + target +
                   " HTTP/1.1\r\nHost: m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                   body;
    auto said = co_await lines_[static_cast<std::size_t>(i)]->call(std::move(request),
                                                                   {sched.now() + within, nullptr});
    if (!said) co_return Said{};
    co_return Said{said->status, json::parse(said->body, nullptr, false)};
  }
  sched::Task<Said> post(int i, int job, std::string route, int dueMs = 20'000) {
    const json body{{"mark", "job-" + std::to_string(job)},
                    {"submitter", "test"},
                    {"route", route},
                    {"key", row(job)},
                    {"due_ms", dueMs}};
    co_return co_await ask(i, "POST", "/jobs", body.dump());
  }
  static std::string row(int job) {
    char text[9];
    std::snprintf(text, sizeof text, "%08x", job);
    return text;
  }
  int runs(int job) { return nodes->ledger.runsByRow[row(job)]; }
  // Until the job is over, as member `i` tells it; its last state.
  sched::Task<std::string> ended(int i, std::string id) {
    for (;;) {
      const auto said = co_await ask(i, "GET", "/jobs/" + id);
      const auto state = said.status == 200 ? said.body["state"].get<std::string>() : "";
      if (state == "done" || state == "failed" || state == "given up") co_return state;
      co_await sched.sleep(50 * kMillisecond);
    }
  }

  sched::Scheduler sched;
  net::DescriptorBudget budget{1000};
  std::unique_ptr<lab::Fleet> nodes;

private:
  std::string configuration(int i) const {
    json out = json::parse(R"({"listen":"127.0.0.1:0","seed":"1","settings":{"peersTotal":1,
      "failureDomains":["here"],"registryMode":"ask","resolutionUs":1000,"services":[
      {"name":"read","effect":"free","onTimeUs":500000,"deadlineUs":4000000},
      {"name":"once","effect":"single_shot","onTimeUs":500000,"deadlineUs":4000000}],"limits":{"mostTries":4},
      "familyInfo":{"control":"by_count","caps":[0.3,1.0],"free":2,"votesToGo":1},"contract":{"coldUs":100000}}})");
    out["name"] = "n" + std::to_string(i);
    out["discovery"] = nodes->discovery();
    out["platform"] = {
        {"address", nodes->platform()},
        {"news", {{"build", 1}, {"stage", 1}, {"phase", "Healthy"}, {"cap", 1}, {"age_ms", 0}}}};
    out["known"] = json::parse(nodes->list(true, 0));
    return out.dump();
  }
  std::string settings(int i, const std::string &extra) const {
    auto out = "[fleet]\nname = \"m" + std::to_string(i) + "\"\nlisten = \"" + at(i) + "\"\nfolder = \"" +
               folder(i) +
               "\"\nclaim = \"1500ms\"\ndrift = \"200ms\"\ngrace = \"300ms\"\npause_first = \"20ms\"\n" +
               extra;
    for (std::size_t m = 0; m < at_.size(); ++m)
      out += "[[fleet.member]]\nname = \"m" + std::to_string(m) + "\"\naddress = \"" +
             net::text(links_[static_cast<std::size_t>(i) * at_.size() + m]->address()) + "\"\n";
    return out;
  }
  std::string folder_ = std::string(std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : "/tmp") +
                        "/myrtlehead-members-" + std::to_string(getpid());
  std::vector<std::string> at_;
  std::vector<std::unique_ptr<lab::Link>> links_; // row by row: from, to
  std::vector<std::unique_ptr<lab::Process>> processes_;
  std::vector<std::unique_ptr<http_client::PersistentConnection>> lines_;
};

} // namespace myrtlehead
