package fit

import (
	"math"
)

// matrix is a small square matrix in row-major order.
type matrix [][]float64

func newMatrix(size int) matrix {
	rows := make(matrix, size)
	for row := range rows {
		rows[row] = make([]float64, size)
	}
	return rows
}

// invert returns the inverse by Gauss-Jordan elimination with partial pivoting, and overwrites a.
// The matrix must be invertible, as normal equations are with at least as many distinct sizes as
// terms.
func invert(a matrix) matrix {
	size := len(a)
	inverse := newMatrix(size)
	for row := range size {
		inverse[row][row] = 1
	}
	for column := range size {
		pivot := pivotRow(a, column)
		a[column], a[pivot] = a[pivot], a[column]
		inverse[column], inverse[pivot] = inverse[pivot], inverse[column]
		divideRow(a[column], inverse[column], a[column][column])
		for row := range size {
			if row != column {
				subtractRow(a, inverse, row, column)
			}
		}
	}
	return inverse
}

// pivotRow returns the row, from the diagonal down, with the largest absolute entry in a column.
func pivotRow(a matrix, column int) int {
	pivot := column
	for row := column + 1; row < len(a); row++ {
		if math.Abs(a[row][column]) > math.Abs(a[pivot][column]) {
			pivot = row
		}
	}
	return pivot
}

func divideRow(left, right []float64, divisor float64) {
	for column := range left {
		left[column] /= divisor
		right[column] /= divisor
	}
}

// subtractRow subtracts a multiple of the pivot row from another row, so that the latter's entry
// in the pivot column becomes zero.
func subtractRow(a, inverse matrix, row, pivot int) {
	factor := a[row][pivot]
	for column := range a {
		a[row][column] -= factor * a[pivot][column]
		inverse[row][column] -= factor * inverse[pivot][column]
	}
}
