// Passes the input to all code that parses data of other processes: to the opening of sealed
// messages and, as from a faulty peer with a valid key, to the decoder of each message body.
#include "membership/peercodec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace Lagoonbank::Membership;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    PeerCodec codec({.id = "vm-0/router", .incarnation = 1, .keys = {"0123456789abcdef"}});
    // The fuzzer can't produce a valid seal by chance; inputs that open come from the seed corpus.
    if (const auto opened = codec.open(input))
        static_cast<void>(decodeMessage(opened->body));
    static_cast<void>(codec.openPulled(input));
    const auto message = decodeMessage(input);
    if (message && encodedSize(message.value()) > size)
        std::abort();
    static_cast<void>(decodeStateRequest(input));
    static_cast<void>(decodeStateAnswer(input));
    return 0;
}
