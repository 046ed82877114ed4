#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cstddef>

namespace wrenswitch {

/// Bytes in the kernel's buffer of a connection that its peer has not acknowledged. Zero where the
/// kernel doesn't tell.
inline std::size_t unacknowledged_in_kernel(int descriptor) {
    int bytes = 0;
    const bool known = ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0;
    return known ? static_cast<std::size_t>(std::max(0, bytes)) : 0;
}

}  // namespace wrenswitch
