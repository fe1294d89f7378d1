#pragma once

#include "base/Units.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Tarragon {

/// Finds the site of a client address by longest prefix match over IPv4 blocks, which may be nested
/// to any depth and may be given in any order. A site is a number below 65,535 that the caller of
/// the constructor assigns to a block; LookupDecider uses the position of a region.
///
/// Blocks of up to 16 bits are expanded into a first level of 65,536 buckets. Longer blocks are
/// sorted within their bucket and need 5 bytes each: the low half of the address, the site, and
/// the prefix lengths of the block and of its nearest enclosing block.
class ClientBlockIndex
{
public:
    using Site = std::uint16_t;
    static constexpr Site NoSite = 0xffff;

    /// A block to index. Bits of the network beyond the prefix must be zero.
    struct Block
    {
        std::uint32_t network = 0;
        std::uint8_t prefixLength = 0;
        Site site = NoSite;
    };

    /// The block found for an address.
    struct Match
    {
        Site site = NoSite;
        std::uint32_t network = 0;
        std::uint8_t prefixLength = 0;
    };

    ClientBlockIndex();

    /// Indexes the blocks. Throws Error if a prefix length is above 32, an address has bits beyond
    /// its prefix, a site is NoSite, or the same block is given twice.
    explicit ClientBlockIndex(std::vector<Block> blocks);

    /// Returns the most specific block that contains the address, which is in host byte order;
    /// nothing if no block contains it.
    std::optional<Match> find(std::uint32_t address) const;

    std::size_t blockCount() const { return m_blockCount; }
    /// Returns the memory that the tables of the index occupy, without the object itself.
    ByteCount memory() const;

private:
    struct Bucket
    {
        /// First block of the bucket; the next bucket's first block ends the range.
        std::uint32_t begin = 0;
        /// Site and prefix length of the most specific block that covers the whole bucket.
        Site site = NoSite;
        std::uint8_t prefixLength = 0;
    };

    /// Returns the position of the block with the given low half and prefix length, which must be
    /// at positions from begin up to but without end.
    std::size_t findBlock(std::size_t begin, std::size_t end, std::uint16_t low,
                          unsigned length) const;

    std::vector<Bucket> m_buckets;
    /// Lower 16 bits of the network of each block of more than 16 bits, bucket by bucket.
    std::vector<std::uint16_t> m_networkLowHalves;
    std::vector<Site> m_sites;
    /// Low four bits: prefix length minus 17. High four bits: prefix length of the nearest
    /// enclosing block in the same bucket minus 16, or 0 if there is none.
    std::vector<std::uint8_t> m_prefixLengths;
    std::size_t m_blockCount = 0;
};

} // namespace Tarragon
