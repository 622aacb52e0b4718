// The scheduler: order, timers, events, cancellations, and coroutines that are destroyed while they wait; and
// what sockets and buffers do on it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <time.h>
#include <unistd.h>

using namespace myrtlehead;

TEST_CASE("coroutines are resumed in the order in which they are due") {
  EventLoop loop;
  std::string order;
  auto one = [&](char c, Nanoseconds after) -> sched::Task<> {
    co_await loop.sched.sleep(after);
    order += c;
  };
  auto all = [&]() -> sched::Task<> {
    loop.sched.spawn(one('c', 20 * kMillisecond));
    loop.sched.spawn(one('b', 10 * kMillisecond));
    loop.sched.spawn(one('a', 0));
    loop.sched.spawn(one('B', 10 * kMillisecond)); // as long, spawned later
    co_await loop.sched.sleep(40 * kMillisecond);
  };
  loop.run(all());
  REQUIRE(order == "abBc");
}

TEST_CASE("an event wakes all that wait") {
  EventLoop loop;
  sched::Event event;
  int woken = 0, late = 0;
  auto waiter = [&]() -> sched::Task<> {
    if (co_await loop.sched.wait(event) == sched::WakeReason::notified) ++woken;
  };
  auto impatient = [&]() -> sched::Task<> {
    const sched::Deadline until{loop.sched.now() + 5 * kMillisecond, nullptr};
    if (co_await loop.sched.wait(event, until) == sched::WakeReason::timedOut) ++late;
  };
  auto all = [&]() -> sched::Task<> {
    event.notify(); // nobody waits yet: it is not kept
    loop.sched.spawn(waiter());
    loop.sched.spawn(waiter());
    loop.sched.spawn(impatient());
    co_await loop.sched.sleep(30 * kMillisecond);
    event.notify();
    co_await loop.sched.sleep(0);
  };
  loop.run(all());
  REQUIRE(woken == 2);
  REQUIRE(late == 1);
}

TEST_CASE("a cancellation lasts") {
  EventLoop loop;
  sched::CancellationToken token;
  auto all = [&]() -> sched::Task<> {
    auto request = [&]() -> sched::Task<> {
      token.cancel();
      co_return;
    };
    loop.sched.spawn(request());
    const auto result = co_await loop.sched.sleep(10 * kSecond, &token);
    REQUIRE(result == sched::WakeReason::cancelled);
    const auto result2 = co_await loop.sched.sleep(10 * kSecond, &token);
    REQUIRE(result2 == sched::WakeReason::cancelled); // and again
  };
  loop.run(all());
}

// Destroying a task destroys its coroutine, whether it waits for a time, an event or its turn.
TEST_CASE("a destroyed task does not go on") {
  EventLoop loop;
  sched::Event event;
  int destroyed = 0, finished = 0;
  struct DestructionCounter {
    int &count;
    ~DestructionCounter() { ++count; }
  };
  auto waits = [&](bool timed) -> sched::Task<> {
    DestructionCounter counter{destroyed};
    if (timed)
      co_await loop.sched.sleep(5 * kMillisecond);
    else
      co_await loop.sched.wait(event);
    ++finished;
  };
  auto all = [&]() -> sched::Task<> {
    {
      auto a = waits(true), b = waits(false), c = waits(false);
      a.start(), b.start(), c.start();
      event.notify(); // b and c are ready to go on when they are destroyed
    }
    REQUIRE(destroyed == 3);
    event.notify();
    co_await loop.sched.sleep(20 * kMillisecond);
  };
  loop.run(all());
  REQUIRE(finished == 0);
}

TEST_CASE("an exception ends one coroutine alone") {
  EventLoop loop;
  std::string reported;
  loop.sched.onUncaughtException = [&](const char *what) { reported += what; };
  auto inner = [&]() -> sched::Task<int> {
    co_await loop.sched.sleep(0);
    throw std::runtime_error("broken");
  };
  auto outer = [&]() -> sched::Task<> { co_await inner(); };
  auto all = [&]() -> sched::Task<> {
    loop.sched.spawn(outer());
    co_await loop.sched.sleep(5 * kMillisecond);
  };
  loop.run(all());
  REQUIRE(reported == "broken");
}

// What has arrived while the process was not running is read, not timed out.
TEST_CASE("descriptors are read before timers expire") {
  EventLoop loop;
  auto [near, far] = loop.socketPair();
  auto all = [&]() -> sched::Task<> {
    auto stall = [&]() -> sched::Task<> {
      REQUIRE(write(far->fd(), "x", 1) == 1);
      usleep(30'000);
      co_return;
    };
    auto next = [&]() -> sched::Task<> { co_return; }; // resumed behind it: the clock is read again
    loop.sched.spawn(stall());
    loop.sched.spawn(next());
    net::Buffer buffer;
    const net::Deadline until{loop.sched.now() + 10 * kMillisecond, nullptr};
    const auto cause = co_await near->read(buffer, until);
    REQUIRE(cause == net::ErrorCode::none);
    REQUIRE(buffer.view() == "x");
  };
  loop.run(all());
}

TEST_CASE("buffers grow and compact") {
  net::Buffer b;
  const auto put = [&](std::string_view text) {
    const auto space = b.prepare(text.size());
    std::memcpy(space.data(), text.data(), text.size());
    b.commit(text.size());
  };
  put("abcd");
  b.consume(2);
  put("efghij");
  REQUIRE(b.view() == "cdefghij");
  const auto *at = b.view().data();
  b.consume(6);
  put("klmn"); // goes to the front instead of growing
  REQUIRE(b.view() == "ijklmn");
  REQUIRE(b.view().data() <= at);
  b.consume(6);
  REQUIRE(b.empty());
}

// A peer that reads nothing bounds what is written to it.
TEST_CASE("a write ends at its deadline") {
  EventLoop loop;
  auto [near, far] = loop.socketPair();
  auto all = [&]() -> sched::Task<> {
    const std::string much(8 << 20, 'x');
    const net::Deadline until{loop.sched.now() + 20 * kMillisecond, nullptr};
    const auto cause = co_await near->write(much, until);
    REQUIRE(cause == net::ErrorCode::timedOut);
    REQUIRE(near->bytesWritten() > 0);
    REQUIRE(near->bytesWritten() < much.size());
    far.reset();
    const net::Deadline later{loop.sched.now() + kSecond, nullptr};
    const auto cause2 = co_await near->write(much, later);
    REQUIRE(cause2 == net::ErrorCode::connectionLost);
  };
  loop.run(all());
}

// Descriptors that this process's epoll instances have registered, as the kernel tells them.
static int registeredDescriptors() {
  int count = 0;
  for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fdinfo")) {
    std::ifstream info(entry.path());
    for (std::string text; std::getline(info, text);) count += text.starts_with("tfd:");
  }
  return count;
}

// A duplicate keeps the open file alive, as a child does between fork and exec. An event of it must not reach
// the socket that has been destroyed.
TEST_CASE("a closed socket receives no events") {
  EventLoop loop;
  auto [near, far] = loop.socketPair();
  const int before = registeredDescriptors();
  const int duplicate = dup(near->fd());
  near.reset();
  REQUIRE(registeredDescriptors() == before - 1);
  auto all = [&]() -> sched::Task<> {
    REQUIRE(write(far->fd(), "x", 1) == 1); // arrives, as the duplicate is open
    co_await loop.sched.sleep(5 * kMillisecond);
  };
  loop.run(all());
  close(duplicate);
}
