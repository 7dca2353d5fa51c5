package fit

import (
	"math"
)

// matrix is a small square matrix, by rows.
type matrix [][]float64

func newMatrix(size int) matrix {
	rows := make(matrix, size)
	for row := range rows {
		rows[row] = make([]float64, size)
	}
	return rows
}

// invert returns the inverse by elimination with pivots. The matrix is changed. It has an
// inverse, as normal equations of more sizes than terms have.
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

// pivotRow returns the row from column on that has the largest entry in it.
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

// subtractRow takes a multiple of the pivot's row from another, so that its entry in the
// pivot's column is zero.
func subtractRow(a, inverse matrix, row, pivot int) {
	factor := a[row][pivot]
	for column := range a {
		a[row][column] -= factor * a[pivot][column]
		inverse[row][column] -= factor * inverse[pivot][column]
	}
}
