// The clients' side: what a connection is answered, and how it ends.
#include "raw.h"

using namespace myrtlehead;

static void aQueryIsServed() {
  House right;
  assert(reply(right, opening() + query(kSql), 2) == "RZTDCZ" && right.seen.size() == 1);
  House several;
  assert(reply(several, opening() + query(kSql) + query("") + query(kSql), 4) == "RZTDCZIZTDCZ");
  House session;
  assert(reply(session, opening() + query("SET a = 1") + query("SELECT 1"), 3) == "RZCZTDCZ" &&
         session.seen.empty());
}

static void aQueryIsServedInPieces() {
  House house;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await house.connect();
    const auto bytes = opening() + query(kSql);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      co_await client->write(std::string_view(bytes).substr(i, 1), {});
      co_await house.loop.sched.sleep(0);
    }
    net::Buffer b;
    std::string value;
    assert(co_await types(*client, b, 2, nullptr, &value) == "RZTDCZ" && value == "value");
  };
  house.loop.run(body());
}

static void encryptionIsDeclined() {
  House house;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await house.connect();
    const std::string ask("\0\0\0\10\4\xd2\x16\x2f", 8);
    co_await client->write(ask, {});
    net::Buffer b;
    assert(co_await client->read(b, {}) == net::Cause::none);
    assert(b.view() == "N");
    b.consume(1);
    const auto rest = opening();
    co_await client->write(rest, {});
    assert(co_await types(*client, b, 1) == "RZ");
  };
  house.loop.run(body());
}

static void whatCantBeReadIsNotPassedOn() {
  std::string code;
  House broken;
  assert(reply(broken, opening() + query("SELECT 1; SELECT 2") + query(kSql), 3, &code) == "RZEZTDCZ");
  assert(code == "42601" && broken.seen.size() == 1);
  House route;
  assert(reply(route, opening() + query("SELECT v FROM records WHERE k = '7f' /* id=1,c=odd,d=480 */"), 2,
               &code) == "RZEZ" &&
         route.seen.empty());
  House extended; // Parse, Bind, Sync: one error, then as usual
  const std::string parse("P\0\0\0\10\0\0\0\0", 9), bind("B\0\0\0\4", 5), sync("S\0\0\0\4", 5);
  assert(reply(extended, opening() + parse + bind + sync + query(kSql), 3, &code) == "RZEZTDCZ" &&
         code == "0A000");
  for (const auto &last :
       {std::string("Q\xff\xff\xff\xff", 5), std::string("?\0\0\0\4", 5), std::string("Q\0\0\0\6ab", 7)}) {
    House house;
    assert(reply(house, opening() + last, 2, &code) == "RZE!" && code == "08P01" && house.seen.empty());
  }
  House old;
  assert(reply(old, std::string("\0\0\0\10\0\2\0\0", 8), 1, &code) == "E!" && code == "08P01");
}

static void shedAndErroredAreTheModulesWords() {
  std::string code, error;
  pg::addError(error, {"ERROR", "53300", "full"});
  pg::addReady(error);
  House full(error);
  assert(reply(full, opening() + query(kSql), 2, &code) == "RZEZ" && code == "53300");
  assert(full.seen.size() > 1); // it never ran, so it was tried again
  House once(StandIn::row("late"), 300 * kMs);
  const auto sql = "SELECT v FROM records WHERE k = '7f' /* id=1,c=once,d=100 */";
  assert(reply(once, opening() + query(sql), 2, &code) == "RZEZ" && code == "XX000" && once.seen.size() == 1);
}

static void aClientThatLeavesEndsItsTry() {
  House house(StandIn::row("late"), 5 * kSec);
  auto body = [&]() -> sched::Task<> {
    auto client = co_await house.connect();
    const auto bytes = opening() + query(kSql);
    co_await client->write(bytes, {});
    while (house.seen.empty()) co_await house.loop.sched.sleep(kMs);
    client.reset();
    co_await house.loop.sched.sleep(20 * kMs);
    auto other = co_await house.connect(); // the marshal goes on
    co_await other->write(bytes, {});
    while (house.seen.size() < 2) co_await house.loop.sched.sleep(kMs);
    assert(house.node.accepted == 2); // the first try's connection was given up
  };
  house.loop.run(body());
}

// Its end comes before the req is read: with a connection to the node at hand, nothing else would stop it.
static void aReqWhoseClientHasGoneIsNotSent() {
  House house;
  auto body = [&]() -> sched::Task<> {
    auto first = co_await house.connect();
    const auto bytes = opening() + query(kSql);
    co_await first->write(bytes, {});
    net::Buffer b;
    assert(co_await types(*first, b, 2) == "RZTDCZ");
    co_await house.loop.sched.sleep(10 * kMs); // the node's connection stands idle
    for (int i = 2; i < 12; ++i) {
      Raw gone(house.door.address());
      gone.write(opening() + ask(i) + ask(100 + i));
    }
    co_await house.loop.sched.sleep(50 * kMs);
    assert(house.seen.size() == 1);
  };
  house.loop.run(body());
}

// Gone while the node's connection is coming up, and with a second req behind the first; its id is free at
// once.
static void whoLeavesWhileConnectingLeavesNothing() {
  Loop *loop = nullptr;
  House house;
  StandIn slow(house.loop, [&](net::Socket &s, net::Buffer &b) -> sched::Task<> {
    co_await loop->sched.sleep(40 * kMs);
    if (!co_await StandIn::admit(s, b)) co_return;
    for (;;) {
      const auto sql = co_await StandIn::query(s, b);
      if (sql.empty()) co_return;
      house.seen.push_back(sql);
      const auto row = StandIn::row("value");
      co_await s.write(row, {});
    }
  });
  loop = &house.loop;
  house.marshal.listed({{"s-2", slow.address(), {.build = 1}}}, true);
  auto body = [&]() -> sched::Task<> {
    auto client = co_await house.connect();
    const auto bytes = opening() + ask(1) + ask(2);
    co_await client->write(bytes, {});
    while (slow.accepted == 0) co_await house.loop.sched.sleep(kMs);
    client.reset();
    auto again = co_await house.connect();
    const auto same = opening() + ask(1);
    co_await again->write(same, {});
    net::Buffer b;
    assert(co_await types(*again, b, 2) == "RZTDCZ" && house.seen.size() == 1);
  };
  house.loop.run(body());
}

// Asked to end, it answers what it has taken, takes on for a while, then closes what stands idle.
static void endsWithReqsInHand() {
  House house(StandIn::row("value"), 700 * kMs);
  auto body = [&]() -> sched::Task<> {
    auto idle = co_await house.connect(), busy = co_await house.connect();
    const auto start = opening(),
               ask = query("SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=2000 */");
    net::Buffer a, b, c;
    co_await idle->write(start, {});
    assert(co_await types(*idle, a, 1) == "RZ");
    co_await busy->write(start, {});
    assert(co_await types(*busy, b, 1) == "RZ");
    auto closing = [&]() -> sched::Task<> {
      co_await house.door.close();
      house.seen.push_back("closed");
    };
    house.loop.sched.spawn(closing());
    co_await house.loop.sched.sleep(100 * kMs);
    co_await busy->write(ask, {});
    auto late = co_await house.connect(); // still taken
    co_await late->write(start, {});
    assert(co_await types(*late, c, 1) == "RZ");
    assert(co_await idle->read(a, {}) == net::Cause::ended);
    assert(co_await types(*busy, b, 1) == "TDCZ"); // after the listener has gone
    assert(co_await busy->read(b, {}) == net::Cause::ended);
    assert(
        !co_await net::connect(house.loop.sched, house.loop.budget, *net::parseAddress("127.0.0.1:1"), {}));
    idle.reset(), busy.reset(), late.reset(); // as clients do that see our end
    co_await house.loop.sched.sleep(10 * kMs);
    assert(house.seen.back() == "closed");
  };
  house.loop.run(body());
}

int main() {
  aQueryIsServed();
  aQueryIsServedInPieces();
  encryptionIsDeclined();
  whatCantBeReadIsNotPassedOn();
  shedAndErroredAreTheModulesWords();
  aClientThatLeavesEndsItsTry();
  aReqWhoseClientHasGoneIsNotSent();
  whoLeavesWhileConnectingLeavesNothing();
  endsWithReqsInHand();
}
