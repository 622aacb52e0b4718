// Tests of the scheduler (order, timers, events, cancellation, destruction of waiting coroutines) and of the
// sockets and buffers that depend on it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixtures.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <time.h>
#include <unistd.h>

using namespace myrtlehead;

TEST_CASE("sleeping coroutines are resumed in the order of their deadlines") {
  EventLoop loop;
  std::string order;
  auto appendAfter = [&](char name, Nanoseconds delay) -> sched::Task<> {
    co_await loop.sched.sleep(delay);
    order += name;
  };
  auto all = [&]() -> sched::Task<> {
    loop.sched.spawn(appendAfter('c', 20 * kMillisecond));
    loop.sched.spawn(appendAfter('b', 10 * kMillisecond));
    loop.sched.spawn(appendAfter('a', 0));
    loop.sched.spawn(appendAfter('B', 10 * kMillisecond)); // the same delay as b, spawned later
    co_await loop.sched.sleep(40 * kMillisecond);
  };
  loop.run(all());
  REQUIRE(order == "abBc");
}

TEST_CASE("an event wakes all coroutines that wait for it") {
  EventLoop loop;
  sched::Event event;
  int notified = 0, timedOut = 0;
  auto waiter = [&]() -> sched::Task<> {
    if (co_await loop.sched.wait(event) == sched::WakeReason::notified) ++notified;
  };
  auto waiterWithDeadline = [&]() -> sched::Task<> {
    const sched::Deadline until{loop.sched.now() + 5 * kMillisecond, nullptr};
    if (co_await loop.sched.wait(event, until) == sched::WakeReason::timedOut) ++timedOut;
  };
  auto all = [&]() -> sched::Task<> {
    event.notify(); // no coroutine waits yet, so this notification has no effect
    loop.sched.spawn(waiter());
    loop.sched.spawn(waiter());
    loop.sched.spawn(waiterWithDeadline());
    co_await loop.sched.sleep(30 * kMillisecond);
    event.notify();
    co_await loop.sched.sleep(0);
  };
  loop.run(all());
  REQUIRE(notified == 2);
  REQUIRE(timedOut == 1);
}

TEST_CASE("a cancelled token also cancels later waits") {
  EventLoop loop;
  sched::CancellationToken token;
  auto all = [&]() -> sched::Task<> {
    auto cancelToken = [&]() -> sched::Task<> {
      token.cancel();
      co_return;
    };
    loop.sched.spawn(cancelToken());
    const auto first = co_await loop.sched.sleep(10 * kSecond, &token);
    REQUIRE(first == sched::WakeReason::cancelled);
    const auto second = co_await loop.sched.sleep(10 * kSecond, &token);
    REQUIRE(second == sched::WakeReason::cancelled);
  };
  loop.run(all());
}

// Destroying a task destroys its coroutine, whether the coroutine waits for a timer or an event or is ready.
TEST_CASE("the coroutine of a destroyed task is not resumed") {
  EventLoop loop;
  sched::Event event;
  int destroyed = 0, finished = 0;
  struct DestructionCounter {
    int &count;
    ~DestructionCounter() { ++count; }
  };
  enum class WaitsFor { timer, event };
  auto waiter = [&](WaitsFor what) -> sched::Task<> {
    DestructionCounter counter{destroyed};
    if (what == WaitsFor::timer)
      co_await loop.sched.sleep(5 * kMillisecond);
    else
      co_await loop.sched.wait(event);
    ++finished;
  };
  auto all = [&]() -> sched::Task<> {
    {
      auto a = waiter(WaitsFor::timer), b = waiter(WaitsFor::event), c = waiter(WaitsFor::event);
      a.start(), b.start(), c.start();
      event.notify(); // b and c are ready to be resumed when they are destroyed
    }
    REQUIRE(destroyed == 3);
    event.notify();
    co_await loop.sched.sleep(20 * kMillisecond);
  };
  loop.run(all());
  REQUIRE(finished == 0);
}

TEST_CASE("an uncaught exception ends only its own spawned coroutine") {
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

// Guards against a timeout although data arrived while the process was not running.
TEST_CASE("descriptors are read before timers expire") {
  EventLoop loop;
  auto [near, far] = loop.socketPair();
  auto all = [&]() -> sched::Task<> {
    auto stall = [&]() -> sched::Task<> {
      REQUIRE(write(far->fd(), "x", 1) == 1);
      usleep(30'000);
      co_return;
    };
    // The scheduler resumes this coroutine after stall() and so reads the clock again.
    auto resumedAfterStall = [&]() -> sched::Task<> { co_return; };
    loop.sched.spawn(stall());
    loop.sched.spawn(resumedAfterStall());
    net::Buffer buffer;
    const net::Deadline until{loop.sched.now() + 10 * kMillisecond, nullptr};
    const auto cause = co_await near->read(buffer, until);
    REQUIRE(cause == net::ErrorCode::none);
    REQUIRE(buffer.view() == "x");
  };
  loop.run(all());
}

TEST_CASE("a buffer grows and compacts its content") {
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
  const auto *dataBefore = b.view().data();
  b.consume(6);
  put("klmn"); // compacts the content to the front instead of growing
  REQUIRE(b.view() == "ijklmn");
  REQUIRE(b.view().data() <= dataBefore);
  b.consume(6);
  REQUIRE(b.empty());
}

// The peer reads nothing, so only a part of the bytes can be written.
TEST_CASE("a write ends at its deadline") {
  EventLoop loop;
  auto [near, far] = loop.socketPair();
  auto all = [&]() -> sched::Task<> {
    const std::string bytes(8 << 20, 'x');
    const net::Deadline until{loop.sched.now() + 20 * kMillisecond, nullptr};
    const auto cause = co_await near->write(bytes, until);
    REQUIRE(cause == net::ErrorCode::timedOut);
    REQUIRE(near->bytesWritten() > 0);
    REQUIRE(near->bytesWritten() < bytes.size());
    far.reset();
    const net::Deadline later{loop.sched.now() + kSecond, nullptr};
    const auto causeAfterClose = co_await near->write(bytes, later);
    REQUIRE(causeAfterClose == net::ErrorCode::connectionLost);
  };
  loop.run(all());
}

// Returns how many descriptors are registered with the epoll instances of this process, as listed by the
// kernel.
static int registeredDescriptors() {
  int count = 0;
  for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fdinfo")) {
    std::ifstream info(entry.path());
    for (std::string text; std::getline(info, text);) count += text.starts_with("tfd:");
  }
  return count;
}

// A duplicate of the descriptor keeps the open file alive, as in a child process between fork and exec.
// Events of the open file must not reach the destroyed Socket.
TEST_CASE("a closed socket receives no events") {
  EventLoop loop;
  auto [near, far] = loop.socketPair();
  const int before = registeredDescriptors();
  const int duplicate = dup(near->fd());
  near.reset();
  REQUIRE(registeredDescriptors() == before - 1);
  auto all = [&]() -> sched::Task<> {
    REQUIRE(write(far->fd(), "x", 1) == 1); // succeeds, because the duplicate is open
    co_await loop.sched.sleep(5 * kMillisecond);
  };
  loop.run(all());
  close(duplicate);
}
