// The clients' side: what a connection is answered, and how it ends.
#include "helpers.h"

#include "front/clients/door.h"

using namespace myrtlehead;

static const std::string kSql = "SELECT v FROM records WHERE k = '7f' /* id=1,c=read,d=480 */";

static std::string opening() {
  std::string out;
  pg::addStartup(out, "svc", "main");
  return out;
}

static std::string query(std::string_view sql) {
  std::string out;
  pg::addQuery(out, sql);
  return out;
}

// A marshal with one node of a released build, which answers by `answer`, `after` a while.
struct House {
  explicit House(std::string answer = StandIn::row("value"), Ns after = 0, int descriptors = 1000)
      : budget(descriptors), node(loop,
                                  [this, answer, after](net::Socket &s, net::Buffer &b) -> sched::Task<> {
                                    if (!co_await StandIn::admit(s, b)) co_return;
                                    for (;;) {
                                      const auto sql = co_await StandIn::query(s, b);
                                      if (sql.empty()) co_return;
                                      seen.push_back(sql);
                                      if (after > 0) co_await loop.sched.sleep(after);
                                      co_await s.write(answer, {});
                                    }
                                  }),
        marshal(loop.sched, smallDeployment(), 7, loop.log),
        pool(loop.sched, loop.budget, loop.log, 100 * kMs, 30 * kSec, {"waiting"}, 0),
        door(loop.sched, budget, marshal, pool, loop.log, *net::parseAddress("127.0.0.1:0"),
             {"read", "write", "once"}, {kSec, kSec, kSec}, 0) {
    marshal.news({1, 2, Phase::released, 1, 0});
    marshal.listed({{"s-1", node.address(), {.build = 1}}}, true);
    loop.sched.spawn(door.accept());
    loop.sched.spawn(door.sweep());
  }
  sched::Task<std::unique_ptr<net::Socket>> connect() {
    auto socket = co_await net::connect(loop.sched, loop.budget, door.address(), {});
    assert(socket);
    co_return std::move(*socket);
  }
  Loop loop;
  net::Descriptors budget; // the door's
  std::vector<std::string> seen;
  StandIn node;
  Marshal marshal;
  nodes::Pool pool;
  clients::Door door;
};

// The types of the messages up to the n-th ReadyForQuery or the end; `code`: of the last error.
static sched::Task<std::string> types(net::Socket &s, net::Buffer &b, int ready, std::string *code = nullptr,
                                      std::string *value = nullptr) {
  std::string out;
  while (ready > 0) {
    pg::Message m;
    if (pg::parseMessage(b.view(), m) != pg::Parsed::whole) {
      if (co_await s.read(b, {}) != net::Cause::none) co_return out + "!";
      continue;
    }
    if (m.type != 'S' && m.type != 'K') out += m.type;
    if (m.type == 'E' && code != nullptr) *code = pg::errorCode(m.body);
    if (m.type == 'D' && value != nullptr) *value = m.body.substr(6);
    if (m.type == 'Z') --ready;
    b.consume(m.size);
  }
  co_return out;
}

// What comes back for `bytes` written at once, up to the n-th ReadyForQuery.
static std::string reply(House &house, const std::string &bytes, int ready, std::string *code = nullptr) {
  std::string out;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await house.connect();
    co_await client->write(bytes, {});
    net::Buffer b;
    out = co_await types(*client, b, ready, code);
  };
  house.loop.run(body());
  return out;
}

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
    co_await house.loop.sched.sleep(10 * kMs);
    assert(house.seen.back() == "closed");
  };
  house.loop.run(body());
}

// With two descriptors for clients, a third and a fourth take the places of those that have been idle the
// longest, if that has lasted for two seconds.
static void idleClientsMakeRoom() {
  House house(StandIn::row("value"), 0, 5);
  auto body = [&]() -> sched::Task<> {
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(4);
    const auto start = opening();
    const auto used = start + query("SELECT 1");
    for (std::size_t i = 0; i < 4; ++i) {
      if (i == 2) co_await house.loop.sched.sleep(2010 * kMs);
      clients.push_back(co_await house.connect());
      co_await clients[i]->write(used, {});
      assert(co_await types(*clients[i], buffers[i], 2) == "RZTDCZ");
    }
    assert(co_await clients[0]->read(buffers[0], {}) == net::Cause::ended);
    const auto ask = query(kSql);
    co_await clients[3]->write(ask, {});
    assert(co_await types(*clients[3], buffers[3], 1) == "TDCZ");
  };
  house.loop.run(body());
}

// Whoever says nothing, or half of something, is told or closed within three seconds of connecting.
static void theSilentAreClosedSoon() {
  House house;
  auto body = [&]() -> sched::Task<> {
    const std::string half("\0\0\0\60", 4), command("Q\0\0\0\60SELECT", 11);
    int over = 0, told = 0;
    auto client = [&](std::string bytes) -> sched::Task<> {
      auto socket = co_await house.connect();
      co_await socket->write(bytes, {});
      net::Buffer b;
      std::string code;
      co_await types(*socket, b, 99, &code);
      told += code == "08P01";
      ++over;
    };
    const auto begun = house.loop.sched.now();
    const std::vector<std::string> all{"", half, opening(), opening() + command};
    for (const auto &bytes : all) house.loop.sched.spawn(client(bytes));
    while (over < 4) co_await house.loop.sched.sleep(10 * kMs);
    assert(house.loop.sched.now() - begun < 3 * kSec && told == 1);
  };
  house.loop.run(body());
}

// Connections that say nothing, or have nothing to ask just now, go for those that ask rather than these are
// refused; the silent ones, as they may only be slow, not at once.
static void whoAsksIsNotKeptOut() {
  for (const auto &first : {std::string(), opening() + query("SELECT 1")}) {
    House house(StandIn::row("value"), 0, 40);
    auto body = [&]() -> sched::Task<> {
      std::vector<std::unique_ptr<net::Socket>> others;
      for (int i = 0; i < 28; ++i) {
        others.push_back(co_await house.connect());
        co_await others.back()->write(first, {});
      }
      co_await house.loop.sched.sleep(300 * kMs);
      for (int i = 0; i < 20; ++i) {
        auto client = co_await house.connect();
        const auto bytes = opening() + query(kSql);
        co_await client->write(bytes, {});
        net::Buffer b;
        assert(co_await types(*client, b, 2) == "RZTDCZ");
      }
    };
    house.loop.run(body());
  }
}

static void anOpenIdIsNotTakenTwice() {
  House house(StandIn::row("value"), 50 * kMs);
  auto body = [&]() -> sched::Task<> {
    auto first = co_await house.connect(), second = co_await house.connect();
    const auto bytes = opening() + query(kSql);
    net::Buffer a, b;
    std::string code;
    co_await first->write(bytes, {});
    while (house.seen.empty()) co_await house.loop.sched.sleep(kMs);
    co_await second->write(bytes, {});
    assert(co_await types(*second, b, 2, &code) == "RZEZ" && code == "42710" && house.seen.size() == 1);
    assert(co_await types(*first, a, 2) == "RZTDCZ");
    const auto again = query(kSql); // it is free again
    co_await second->write(again, {});
    assert(co_await types(*second, b, 1) == "TDCZ");
  };
  house.loop.run(body());
}

// Hundreds of commands that can't be used are answered in their order, with a line or two in the log, and
// others are served meanwhile.
static void theWrongByTheHundredsCostLittle() {
  House house;
  std::string many = opening(), answers = "RZ";
  for (int i = 0; i < 600; ++i) {
    many += query("SELECT v FROM records WHERE k = '7f' /* id=1,c=odd,d=5 */");
    answers += "EZ";
  }
  many += query(kSql);
  assert(reply(house, many, 602) == answers + "TDCZ");
  const auto lines = house.loop.lines.str();
  std::size_t said = 0;
  for (auto at = lines.find("warning"); at != lines.npos; at = lines.find("warning", at + 1)) ++said;
  assert(said >= 1 && said <= 2);
}

// A client that announces 60 MB and sends at full speed is told so, and the rest is not read.
static void theHugeIsNotRead() {
  House house;
  auto body = [&]() -> sched::Task<> {
    auto client = co_await house.connect();
    auto flood = [&]() -> sched::Task<> {
      const auto bytes = opening() + std::string("Q\3\x93\x87\0", 5);
      co_await client->write(bytes, {});
      const std::string more(1 << 20, 'x');
      auto cause = net::Cause::none;
      for (int i = 0; i < 60 && cause == net::Cause::none; ++i) cause = co_await client->write(more, {});
    };
    house.loop.sched.spawn(flood());
    net::Buffer b;
    std::string code;
    assert(co_await types(*client, b, 2, &code) == "RZE!" && code == "08P01");
    assert(client->written() < 20u << 20);
    auto other = co_await house.connect();
    const auto bytes = opening() + query(kSql);
    co_await other->write(bytes, {});
    net::Buffer c;
    assert(co_await types(*other, c, 2) == "RZTDCZ");
  };
  house.loop.run(body());
}

// Large messages are read as far as there are places for them; the others wait for those to be answered.
static void largeMessagesWaitForAPlace() {
  House house(StandIn::row("value"), 20 * kMs);
  auto body = [&]() -> sched::Task<> {
    const auto large = [](std::size_t id) {
      return query("SELECT v FROM records WHERE k = '" + std::string(200'000, 'x') +
                   "' /* id=" + std::to_string(id) + ",c=read,d=900 */");
    };
    const auto start = opening();
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(8);
    for (auto &buffer : buffers) {
      clients.push_back(co_await house.connect());
      co_await clients.back()->write(start, {});
      assert(co_await types(*clients.back(), buffer, 1) == "RZ");
    }
    auto send = [&](std::size_t i) -> sched::Task<> {
      const auto bytes = large(i);
      co_await clients[i]->write(bytes, {});
    };
    for (std::size_t i = 0; i < clients.size(); ++i) house.loop.sched.spawn(send(i));
    co_await house.loop.sched.sleep(10 * kMs);
    assert(house.seen.size() <= 5); // of 200 KB each, where there is place for a megabyte
    for (std::size_t i = 0; i < clients.size(); ++i)
      assert(co_await types(*clients[i], buffers[i], 1) == "TDCZ");
    assert(house.seen.size() == 8);
  };
  house.loop.run(body());
}

// With every client's req in hand, a new connection is refused at once rather than left in the backlog.
static void noRoomIsSaidAtOnce() {
  House house(StandIn::row("value"), 100 * kMs, 24);
  auto body = [&]() -> sched::Task<> {
    std::vector<std::unique_ptr<net::Socket>> clients;
    std::vector<net::Buffer> buffers(20);
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      auto sql = kSql;
      const auto bytes = opening() + query(sql.replace(sql.find("id=1"), 4, "id=" + std::to_string(i)));
      clients.push_back(co_await house.connect());
      co_await clients[i]->write(bytes, {});
      co_await house.loop.sched.sleep(kMs);
    }
    int served = 0, refused = 0;
    for (std::size_t i = 0; i < buffers.size(); ++i) {
      std::string code;
      const auto seen = co_await types(*clients[i], buffers[i], 2, &code);
      served += seen == "RZTDCZ";
      refused += seen == "RZE!" && code == "53300";
    }
    assert(served + refused == 20 && served >= 15 && refused > 0);
  };
  house.loop.run(body());
}

int main() {
  theSilentAreClosedSoon();
  whoAsksIsNotKeptOut();
  anOpenIdIsNotTakenTwice();
  theWrongByTheHundredsCostLittle();
  theHugeIsNotRead();
  noRoomIsSaidAtOnce();
  largeMessagesWaitForAPlace();
  aQueryIsServed();
  aQueryIsServedInPieces();
  encryptionIsDeclined();
  whatCantBeReadIsNotPassedOn();
  shedAndErroredAreTheModulesWords();
  aClientThatLeavesEndsItsTry();
  endsWithReqsInHand();
  idleClientsMakeRoom();
}
