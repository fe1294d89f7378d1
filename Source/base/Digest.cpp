#include "base/Digest.h"

#include "base/Error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>

namespace Tarragon {

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int digestSize = 0;
    if (EVP_Digest(data.data(), data.size(), digest.data(), &digestSize, EVP_sha256(), nullptr)
        != 1) {
        throw Error("OpenSSL could not compute a SHA-256 digest");
    }
    static constexpr std::string_view HexDigits = "0123456789abcdef";
    std::string text;
    text.reserve(std::size_t(digestSize) * 2);
    for (unsigned int i = 0; i < digestSize; ++i) {
        text.push_back(HexDigits[digest[i] >> 4U]);
        text.push_back(HexDigits[digest[i] & 0x0fU]);
    }
    return text;
}

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t strongRandom()
{
    std::uint64_t value = 0;
    if (RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof value) != 1) {
        throw Error("OpenSSL could not provide random bytes");
    }
    return value;
}

bool secretsEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace Tarragon
