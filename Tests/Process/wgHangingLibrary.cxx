// SPDX-License-Identifier: Apache-2.0
// A library whose static objects are never done with being destroyed.
#include <unistd.h>

namespace {

struct Endless
{
  Endless() = default;
  Endless(const Endless&) = delete;
  Endless& operator=(const Endless&) = delete;
  ~Endless()
  {
    for (;;) {
      pause();
    }
  }
};

const Endless Last;

} // namespace
