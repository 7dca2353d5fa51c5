package agree

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// bbolt has checksums only on its two meta pages, and accepts a file with one valid
// meta page, which may be older than the last transaction. It trusts the headers of
// all other pages: a corrupt one makes it panic, also in its own goroutines, or loop
// forever. So the tree is verified here before bbolt opens the file. The layout is
// that of bbolt's file version 2, in native byte order. Sizes and offsets are in bytes.
const (
	boltMagic   = 0xED0CDAED
	boltVersion = 2

	pageHeaderSize    = 8 + 2 + 2 + 4 // id, flags, count, overflow
	pageFlagBranch    = 1
	pageFlagLeaf      = 2
	branchElementSize = 4 + 4 + 8     // position, key size, page ID
	leafElementSize   = 4 + 4 + 4 + 4 // flags, position, key size, value size
	leafFlagBucket    = 1             // the value is a bucket
	bucketHeaderSize  = 8 + 8         // root page ID, or 0 for an inline bucket; sequence
	metaSize          = 64
	metaChecksum      = 56
	metaPageSize      = 8 // this and the following: offsets after the page header
	metaRootPage      = 16
	metaPageCount     = 40
	metaTxID          = 48
)

var byteOrder = binary.NativeEndian

// pageWalk is the state of a traversal of a file's tree.
type pageWalk struct {
	file     *os.File
	pageSize uint64 // bytes
	endPage  uint64 // pages from this ID on are not in use
	used     map[uint64]bool
	queue    []uint64 // referenced pages, not read yet
}

// checkPages verifies the meta pages, the length and the tree of a bbolt file.
func checkPages(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	root, p, err := readMeta(f)
	if err != nil {
		return err
	}
	if err := p.enqueue(root); err != nil {
		return err
	}
	for len(p.queue) > 0 {
		id := p.queue[len(p.queue)-1]
		p.queue = p.queue[:len(p.queue)-1]
		if err := p.checkPage(id); err != nil {
			return fmt.Errorf("page %d: %w", id, err)
		}
	}
	return nil
}

// readMeta reads both meta pages and returns the root page of the newer one.
func readMeta(f *os.File) (root uint64, p *pageWalk, err error) {
	info, err := f.Stat()
	if err != nil {
		return 0, nil, err
	}
	p = &pageWalk{file: f, pageSize: uint64(os.Getpagesize()), used: map[uint64]bool{}}
	var newest uint64
	for id := range uint64(2) {
		meta := make([]byte, metaSize)
		if _, err := f.ReadAt(meta, int64(id*p.pageSize+pageHeaderSize)); err == io.EOF {
			return 0, nil, fmt.Errorf("torn: %d bytes", info.Size())
		} else if err != nil {
			return 0, nil, err
		}
		sum := fnv.New64a()
		sum.Write(meta[:metaChecksum])
		if byteOrder.Uint32(meta) != boltMagic || byteOrder.Uint64(meta[metaChecksum:]) != sum.Sum64() {
			return 0, nil, fmt.Errorf("meta page %d: checksum mismatch", id)
		}
		if v := byteOrder.Uint32(meta[4:]); v != boltVersion {
			return 0, nil, fmt.Errorf("meta page %d: version %d, not %d", id, v, boltVersion)
		}
		p.pageSize = uint64(byteOrder.Uint32(meta[metaPageSize:]))
		last := byteOrder.Uint64(meta[metaPageCount:])
		if p.pageSize < 512 || last > uint64(info.Size())/p.pageSize {
			return 0, nil, fmt.Errorf("torn: %d bytes, %d pages of %d in use", info.Size(), last, p.pageSize)
		}
		if tx := byteOrder.Uint64(meta[metaTxID:]); id == 0 || tx > newest {
			newest, p.endPage, root = tx, last, byteOrder.Uint64(meta[metaRootPage:])
		}
	}
	return root, p, nil
}

// enqueue adds a referenced page to the queue.
func (p *pageWalk) enqueue(id uint64) error {
	if id < 2 || id >= p.endPage {
		return fmt.Errorf("reference to page %d, %d pages in use", id, p.endPage)
	}
	p.queue = append(p.queue, id)
	return nil
}

// markUsed marks a page as used. It returns an error if it was used before.
func (p *pageWalk) markUsed(id uint64) error {
	if p.used[id] {
		return errors.New("used twice")
	}
	p.used[id] = true
	return nil
}

func (p *pageWalk) checkPage(id uint64) error {
	head := make([]byte, pageHeaderSize)
	if _, err := p.file.ReadAt(head, int64(id*p.pageSize)); err != nil {
		return err
	}
	if got := byteOrder.Uint64(head); got != id {
		return fmt.Errorf("header has page ID %d", got)
	}
	overflow := uint64(byteOrder.Uint32(head[12:]))
	if id+overflow >= p.endPage {
		return fmt.Errorf("%d overflow pages, %d pages in use", overflow, p.endPage)
	}
	for i := range overflow + 1 {
		if err := p.markUsed(id + i); err != nil {
			return err
		}
	}
	b := make([]byte, (overflow+1)*p.pageSize)
	if _, err := p.file.ReadAt(b, int64(id*p.pageSize)); err != nil {
		return err
	}
	return p.checkElements(b, true)
}

// checkElements verifies the elements of a page, or of the page in the value of an inline bucket,
// which must not be a branch page: wholePage is false.
func (p *pageWalk) checkElements(b []byte, wholePage bool) error {
	if len(b) < pageHeaderSize {
		return fmt.Errorf("%d bytes", len(b))
	}
	flags, count := byteOrder.Uint16(b[8:]), int(byteOrder.Uint16(b[10:]))
	size := leafElementSize
	switch {
	case flags == pageFlagBranch && wholePage && count > 0:
		size = branchElementSize
	case flags == pageFlagLeaf:
	default:
		return fmt.Errorf("flags %d, %d elements", flags, count)
	}
	if pageHeaderSize+count*size > len(b) {
		return fmt.Errorf("%d elements in %d bytes", count, len(b))
	}
	for i := range count {
		offset := pageHeaderSize + i*size
		element := b[offset:]
		if flags == pageFlagBranch {
			if uint64(offset)+uint64(byteOrder.Uint32(element))+uint64(byteOrder.Uint32(element[4:])) > uint64(len(b)) {
				return fmt.Errorf("element %d exceeds the page", i)
			}
			if err := p.enqueue(byteOrder.Uint64(element[8:])); err != nil {
				return err
			}
			continue
		}
		from := uint64(offset) + uint64(byteOrder.Uint32(element[4:])) + uint64(byteOrder.Uint32(element[8:]))
		to := from + uint64(byteOrder.Uint32(element[12:]))
		if to > uint64(len(b)) {
			return fmt.Errorf("element %d exceeds the page", i)
		}
		if flag := byteOrder.Uint32(element); flag > leafFlagBucket {
			return fmt.Errorf("element %d: flags %d", i, flag)
		} else if flag == leafFlagBucket {
			if err := p.checkBucket(b[from:to]); err != nil {
				return fmt.Errorf("bucket: %w", err)
			}
		}
	}
	return nil
}

func (p *pageWalk) checkBucket(b []byte) error {
	if len(b) < bucketHeaderSize {
		return fmt.Errorf("%d bytes", len(b))
	}
	if root := byteOrder.Uint64(b); root != 0 {
		return p.enqueue(root)
	}
	return p.checkElements(b[bucketHeaderSize:], false)
}
