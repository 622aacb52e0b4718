// What a hundred instances that start in one instant ask of a server of names.
#pragma once

namespace myrtlehead::lab {

// One minute in real time, with and without jitter side by side; prints queries a second. 0.
int starts();

} // namespace myrtlehead::lab
