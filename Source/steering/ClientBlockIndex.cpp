#include "steering/ClientBlockIndex.h"

#include "base/Error.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace Tarragon {

namespace {

constexpr unsigned FirstLevelBits = 16;
constexpr std::size_t BucketCount = std::size_t(1) << FirstLevelBits;
constexpr unsigned LengthMask = 0x0f;
constexpr unsigned EnclosingShift = 4;

std::uint32_t maskOf(unsigned length)
{
    return length == 0 ? 0 : ~std::uint32_t(0) << (32 - length);
}

std::string toText(const ClientBlockIndex::Block &block)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string(block.network >> unsigned(shift) & 0xffU);
        text += shift > 0 ? "." : "/";
    }
    return text + std::to_string(block.prefixLength);
}

void check(const std::vector<ClientBlockIndex::Block> &blocks)
{
    const ClientBlockIndex::Block *previous = nullptr;
    for (const ClientBlockIndex::Block &it : blocks) {
        if (it.prefixLength > 32 || (it.network & ~maskOf(it.prefixLength)) != 0) {
            throw Error("client block " + toText(it)
                        + ": expected a prefix length up to 32 and no address bits beyond it");
        }
        if (it.site == ClientBlockIndex::NoSite) {
            throw Error("client block " + toText(it) + ": found no site, expected one");
        }
        if (previous != nullptr && previous->network == it.network
            && previous->prefixLength == it.prefixLength) {
            throw Error("client block " + toText(it) + ": found twice, expected once");
        }
        previous = &it;
    }
}

} // namespace

ClientBlockIndex::ClientBlockIndex()
    : m_buckets(BucketCount + 1)
{}

ClientBlockIndex::ClientBlockIndex(std::vector<Block> blocks)
    : m_buckets(BucketCount + 1)
    , m_blockCount(blocks.size())
{
    std::sort(blocks.begin(), blocks.end(), [](const Block &a, const Block &b) {
        return std::tie(a.network, a.prefixLength) < std::tie(b.network, b.prefixLength);
    });
    check(blocks);

    const auto isLong = [](const Block &block) { return block.prefixLength > FirstLevelBits; };
    const auto longCount =
            static_cast<std::size_t>(std::count_if(blocks.begin(), blocks.end(), isLong));
    m_networkLowHalves.reserve(longCount);
    m_sites.reserve(longCount);
    m_prefixLengths.reserve(longCount);

    // The sorted order puts an enclosing block before the blocks inside it, so the blocks that
    // enclose the current one form a stack.
    std::vector<const Block *> enclosingBlocks;
    std::size_t bucket = 0;
    for (const Block &it : blocks) {
        const std::size_t ownBucket = it.network >> FirstLevelBits;
        if (!isLong(it)) {
            const std::size_t n = std::size_t(1) << (FirstLevelBits - it.prefixLength);
            for (std::size_t i = ownBucket; i < ownBucket + n; ++i) {
                m_buckets[i].site = it.site;
                m_buckets[i].prefixLength = it.prefixLength;
            }
            continue;
        }
        for (; bucket < ownBucket; ++bucket) {
            m_buckets[bucket + 1].begin = static_cast<std::uint32_t>(m_networkLowHalves.size());
        }
        while (!enclosingBlocks.empty()
               && (it.network & maskOf(enclosingBlocks.back()->prefixLength))
                          != enclosingBlocks.back()->network) {
            enclosingBlocks.pop_back();
        }
        const unsigned enclosing =
                enclosingBlocks.empty() ? 0 : enclosingBlocks.back()->prefixLength - FirstLevelBits;
        enclosingBlocks.push_back(&it);
        m_networkLowHalves.push_back(static_cast<std::uint16_t>(it.network));
        m_sites.push_back(it.site);
        m_prefixLengths.push_back(static_cast<std::uint8_t>((it.prefixLength - FirstLevelBits - 1)
                                                            | enclosing << EnclosingShift));
    }
    for (; bucket < BucketCount; ++bucket) {
        m_buckets[bucket + 1].begin = static_cast<std::uint32_t>(m_networkLowHalves.size());
    }
}

std::size_t ClientBlockIndex::findBlock(std::size_t begin, std::size_t end, std::uint16_t low,
                                        unsigned length) const
{
    const auto first = m_networkLowHalves.begin();
    auto it = std::lower_bound(first + static_cast<std::ptrdiff_t>(begin),
                               first + static_cast<std::ptrdiff_t>(end), low);
    auto i = static_cast<std::size_t>(it - first);
    while ((m_prefixLengths[i] & LengthMask) + FirstLevelBits + 1 != length) {
        ++i;
    }
    return i;
}

std::optional<ClientBlockIndex::Match> ClientBlockIndex::find(std::uint32_t address) const
{
    const std::size_t bucketIndex = address >> FirstLevelBits;
    const Bucket &bucket = m_buckets[bucketIndex];
    const std::size_t begin = bucket.begin;
    const std::size_t end = m_buckets[bucketIndex + 1].begin;
    const auto low = static_cast<std::uint16_t>(address);
    const std::uint32_t high = address & maskOf(FirstLevelBits);

    const auto first = m_networkLowHalves.begin();
    const auto after = std::upper_bound(first + static_cast<std::ptrdiff_t>(begin),
                                        first + static_cast<std::ptrdiff_t>(end), low);
    auto i = static_cast<std::size_t>(after - first);
    if (i > begin) {
        --i;
        // A block that contains the address also contains the start of the last block that starts
        // at or before the address. It is therefore this last block or one that encloses it.
        while (true) {
            const unsigned length = (m_prefixLengths[i] & LengthMask) + FirstLevelBits + 1;
            const std::uint32_t network = high | m_networkLowHalves[i];
            if ((address & maskOf(length)) == network) {
                return Match{ m_sites[i], network, static_cast<std::uint8_t>(length) };
            }
            const unsigned enclosing = unsigned(m_prefixLengths[i]) >> EnclosingShift;
            if (enclosing == 0) {
                break;
            }
            const unsigned outer = enclosing + FirstLevelBits;
            i = findBlock(begin, i, static_cast<std::uint16_t>(network & maskOf(outer)), outer);
        }
    }
    if (bucket.site == NoSite) {
        return std::nullopt;
    }
    return Match{ bucket.site, address & maskOf(bucket.prefixLength), bucket.prefixLength };
}

ByteCount ClientBlockIndex::memory() const
{
    return ByteCount{ m_buckets.capacity() * sizeof(Bucket)
                      + m_networkLowHalves.capacity() * sizeof(std::uint16_t)
                      + m_sites.capacity() * sizeof(Site) + m_prefixLengths.capacity() };
}

} // namespace Tarragon
