// Frames in on standard input, frames out on standard output.
#include "adapter.h"

#include <cstdio>

namespace {

using namespace myrtlehead::wire;

bool readExactly(std::uint8_t *to, std::size_t n, bool mayEnd) {
  const auto got = std::fread(to, 1, n, stdin);
  if (got == n) return true;
  if (got == 0 && mayEnd && std::feof(stdin)) return false;
  throw WireError("truncated: input ended after " + std::to_string(got) + " of " + std::to_string(n) +
                  " bytes");
}

void serve() {
  Host host;
  std::vector<std::uint8_t> frame;
  std::uint8_t head[4];
  while (readExactly(head, sizeof head, true)) {
    const std::size_t n = Reader(head, sizeof head).u32();
    if (n < 16 || n > (std::size_t{1} << 30)) throw WireError("impossible frame length " + std::to_string(n));
    frame.resize(n);
    readExactly(frame.data(), n, false);
    Reader in(frame.data(), n);
    const auto &reply = host.answer(in);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      throw WireError("standard output is closed");
  }
}

} // namespace

int main() {
  try {
    serve();
  } catch (const std::exception &e) {
    std::fprintf(stderr, "myrtlehead_sim_adapter: %s\n", e.what());
    return 1;
  }
  return 0;
}
