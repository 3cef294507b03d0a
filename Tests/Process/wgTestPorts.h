// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "wgSocket.h"

namespace wg::test {

/** \class TestPorts
 * \brief TCP ports on loopback that belong to one test while this lives.
 *
 * They come from a block below the ports that the kernel gives to outgoing
 * connections, so that a port stays free while its process is not yet or no
 * longer there. The block's first port is held as the mark that it is taken.
 */
class TestPorts
{
public:
  /** \brief Takes a block that no other test holds; throws when all are. */
  TestPorts();
  /** \brief A port of the block that was not given before and is free. */
  int Take();

private:
  FileDescriptor guard_;
  int next_ = 0;
  int end_ = 0;
};

} // namespace wg::test
